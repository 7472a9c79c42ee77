package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether the process is stopping, and since when.
 *
 * @property gracePeriod time from the request to stop until the process is killed.
 */
internal class Lifecycle(
    private val clock: NanoClock,
    private val gracePeriod: Duration,
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

    /** Whether a request that arrives now is served: one that arrives late in the grace period might not finish in it. */
    val acceptsRequests: Boolean
        get() = stoppingFor() <= minOf(MAX_ACCEPT_WHILE_STOPPING, gracePeriod * ACCEPT_SHARE)

    /** Time since the stop began; zero before it. */
    fun stoppingFor(): Duration = if (isStopping) clock.elapsed(stoppingSince) else Duration.ZERO

    private companion object {
        /** By then the load balancer has seen two failing readiness checks, which it makes every second. */
        val MAX_ACCEPT_WHILE_STOPPING = 2_800.milliseconds
        const val ACCEPT_SHARE = 0.5
    }
}
