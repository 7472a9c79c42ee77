package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * When this router last knew the newest configuration. A key that was taken away must stop working within a bound on
 * every router, cut off or not; a router whose proof is older than [lifetime] turns requests with keys away.
 *
 * The steady clock stands still while a process is suspended and the time of day may jump, so a proof ages by whichever
 * clock shows more. Not safe for use from several threads.
 */
public class ConfigurationAge(
    private val lifetime: Duration,
) {
    private var steadyNanos = 0L
    private var wallMillis = 0L
    private var proved = false

    /** Notes that a linearizable read, sent at these times, returned what is in force. */
    public fun confirm(
        steadyNanos: Long,
        wallMillis: Long,
    ) {
        this.steadyNanos = steadyNanos
        this.wallMillis = wallMillis
        proved = true
    }

    /** Age of the proof; infinite before the first one. */
    public fun age(
        steadyNanos: Long,
        wallMillis: Long,
    ): Duration {
        if (!proved) return Duration.INFINITE
        val steady = (steadyNanos - this.steadyNanos).nanoseconds
        val wall = ((wallMillis - this.wallMillis) * NANOS_PER_MILLI).nanoseconds
        return maxOf(steady, wall)
    }

    /** Whether requests with keys may run. */
    public fun isFresh(
        steadyNanos: Long,
        wallMillis: Long,
    ): Boolean = age(steadyNanos, wallMillis) < lifetime

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
