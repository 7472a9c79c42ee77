package dev.almondhaven.decision.distribution

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Retry delays with full jitter: uniform between zero and a bound that doubles with each failure up to [maxBound]. */
public class RetryDelay(
    private val initialBound: Duration,
    private val maxBound: Duration,
    private val random: UniformRandomProvider,
) {
    private var failures = 0

    /** Counts a failure and returns the delay before the next attempt. */
    public fun nextDelay(): Duration {
        val bound = minOf(maxBound, initialBound * (1L shl minOf(failures, MAX_DOUBLINGS)).toInt())
        failures++
        return uniformDelay(bound)
    }

    /** A random delay between zero and [bound]. */
    public fun uniformDelay(bound: Duration): Duration = random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds

    /** Resets the bound after a success. */
    public fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
