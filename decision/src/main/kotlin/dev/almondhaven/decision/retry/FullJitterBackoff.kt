package dev.almondhaven.decision.retry

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Exponential backoff with full jitter: the wait before each further attempt is drawn evenly from zero to a bound that
 * doubles, so that clients which failed together don't come back together.
 *
 * @property base bound of the first wait.
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

    /** How long to wait after attempt number [attempt], from 1. */
    public fun delay(
        attempt: Int,
        random: UniformRandomProvider,
    ): Duration {
        val doublings = (attempt - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val bound = minOf(cap, base * (1L shl doublings).toDouble())
        return random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 30
    }
}
