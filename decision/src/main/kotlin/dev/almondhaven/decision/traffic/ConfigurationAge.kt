package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Time since this router last confirmed that it holds the newest configuration. A revoked API key must stop working
 * within a bounded time on every router, partitioned or not, so a router whose last confirmation is older than
 * [lifetime] rejects requests that carry a key.
 *
 * The monotonic clock stands still while a process is suspended and the wall clock may jump, so the age is taken from
 * whichever clock shows more. Not thread-safe.
 */
public class ConfigurationAge(
    private val lifetime: Duration,
) {
    private var confirmedNanos = 0L
    private var confirmedWallMillis = 0L
    private var isConfirmed = false

    /**
     * Records that a linearizable read, sent at these times, returned the configuration in force. Returns false, and
     * records nothing, if a later one is recorded already.
     */
    public fun confirm(
        steadyNanos: Long,
        wallMillis: Long,
    ): Boolean {
        if (isConfirmed && steadyNanos - confirmedNanos < 0) return false
        confirmedNanos = steadyNanos
        confirmedWallMillis = wallMillis
        isConfirmed = true
        return true
    }

    /** Time since the last confirmation; infinite before the first one. */
    public fun age(
        steadyNanos: Long,
        wallMillis: Long,
    ): Duration {
        if (!isConfirmed) return Duration.INFINITE
        val steadyAge = (steadyNanos - confirmedNanos).nanoseconds
        val wallAge = ((wallMillis - confirmedWallMillis) * NANOS_PER_MILLI).nanoseconds
        return maxOf(steadyAge, wallAge)
    }

    /** Whether the configuration is recent enough to serve requests that carry a key. */
    public fun isFresh(
        steadyNanos: Long,
        wallMillis: Long,
    ): Boolean = age(steadyNanos, wallMillis) < lifetime

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
