package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A token bucket for the calls of one process. [callsPerSecond] is read at every call, so that the share of a process
 * shrinks as the fleet grows; the bucket holds what [burst] calls need. Safe to use from any thread.
 */
public class ProcessRateLimiter(
    private val clock: NanoClock,
    private val burst: Double,
    private val callsPerSecond: () -> Double,
) {
    private var tokens = burst
    private var filledAt = clock.nanos()

    init {
        require(burst >= 1) { "burst must be 1 or more, got $burst" }
    }

    /** Takes a call's token; returns zero if there was one, else how long to wait before the next try. */
    @Synchronized
    public fun tryAcquire(): Duration {
        val rate = callsPerSecond()
        val now = clock.nanos()
        tokens = minOf(burst, tokens + rate * (now - filledAt) / NANOS_PER_SECOND)
        filledAt = now
        if (tokens >= 1) {
            tokens -= 1
            return Duration.ZERO
        }
        val missing = (1 - tokens) / rate
        return if (missing.isFinite()) (missing * NANOS_PER_SECOND).toLong().nanoseconds + 1.nanoseconds else LONGEST
    }

    /** Takes what was saved up, so that the processes of a fleet don't spend it all at once after an outage. */
    @Synchronized
    public fun drain() {
        tokens = minOf(tokens, 0.0)
        filledAt = clock.nanos()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        val LONGEST = 60.seconds
    }
}
