package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration

/** Whether the process is stopping, and since when. */
internal class Lifecycle(
    private val clock: NanoClock,
) {
    private var stoppingSince = 0L

    @Volatile
    var stopping = false
        private set

    fun stop() {
        if (stopping) return
        stoppingSince = clock.nanos()
        stopping = true
    }

    /** How long ago the stop began; zero before it. */
    fun stoppingFor(): Duration = if (stopping) clock.elapsed(stoppingSince) else Duration.ZERO
}
