package dev.almondhaven.decision.distribution

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Retry delays with full jitter: uniform between nothing and a bound that doubles with each failure up to [longest]. */
public class RetryDelay(
    private val first: Duration,
    private val longest: Duration,
    private val random: UniformRandomProvider,
) {
    private var failures = 0

    /** Delay before the next attempt, after one more failure. */
    public fun nextDelay(): Duration {
        val bound = minOf(longest, first * (1L shl minOf(failures, MAXIMUM_DOUBLINGS)).toInt())
        failures++
        return uniformDelay(bound)
    }

    /** A delay between nothing and [bound]. */
    public fun uniformDelay(bound: Duration): Duration = random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds

    /** Begins anew after a success. */
    public fun reset() {
        failures = 0
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 20
    }
}
