package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration

/** Whether the process is stopping, and since when. */
internal class Lifecycle(
    private val clock: NanoClock,
) {
    private var stoppingSince = 0L

    @Volatile
    var isStopping = false
        private set

    fun stop() {
        if (isStopping) return
        stoppingSince = clock.nanos()
        isStopping = true
    }

    /** Time since the stop began; zero before it. */
    fun stoppingFor(): Duration = if (isStopping) clock.elapsed(stoppingSince) else Duration.ZERO
}
