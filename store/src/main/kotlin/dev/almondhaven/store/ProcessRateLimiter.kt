package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A token bucket that limits the platform calls of one process. [callsPerSecond] is read at every call, so that the
 * share of a process shrinks as the fleet grows; the bucket holds at most [burst] tokens. Thread-safe.
 */
public class ProcessRateLimiter(
    private val clock: NanoClock,
    private val burst: Double,
    private val callsPerSecond: () -> Double,
) {
    private var tokens = burst
    private var refilledAt = clock.nanos()

    init {
        require(burst >= 1) { "burst must be 1 or more, got $burst" }
    }

    /** Takes one token and returns zero, or takes none and returns how long to wait before the next attempt. */
    @Synchronized
    public fun tryAcquire(): Duration {
        val rate = callsPerSecond()
        val now = clock.nanos()
        tokens = minOf(burst, tokens + rate * (now - refilledAt) / NANOS_PER_SECOND)
        refilledAt = now
        if (tokens >= 1) {
            tokens -= 1
            return Duration.ZERO
        }
        val missing = (1 - tokens) / rate
        return if (missing.isFinite()) (missing * NANOS_PER_SECOND).toLong().nanoseconds + 1.nanoseconds else MAX_WAIT
    }

    /** Discards the saved tokens, so that the processes of a fleet don't all call in a burst after an outage. */
    @Synchronized
    public fun drain() {
        tokens = minOf(tokens, 0.0)
        refilledAt = clock.nanos()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        val MAX_WAIT = 60.seconds
    }
}
