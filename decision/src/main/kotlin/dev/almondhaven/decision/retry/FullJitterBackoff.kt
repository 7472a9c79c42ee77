package dev.almondhaven.decision.retry

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Exponential backoff with full jitter: the delay before each retry is uniform between zero and a bound that doubles,
 * so that clients that failed at the same time don't retry at the same time.
 *
 * @property base bound of the first delay.
 * @property cap largest bound.
 */
public class FullJitterBackoff(
    private val base: Duration,
    private val cap: Duration,
) {
    init {
        require(base.isPositive()) { "base must be positive, got $base" }
        require(cap >= base) { "cap must be at least $base, got $cap" }
    }

    /** The delay after attempt number [attempt], counted from 1. */
    public fun delay(
        attempt: Int,
        random: UniformRandomProvider,
    ): Duration {
        val doublings = (attempt - 1).coerceIn(0, MAX_DOUBLINGS)
        val bound = minOf(cap, base * (1L shl doublings).toDouble())
        return random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds
    }

    private companion object {
        const val MAX_DOUBLINGS = 30
    }
}
