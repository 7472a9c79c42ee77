package dev.almondhaven.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Random pauses between zero and a bound that doubles with every failure, up to [longest]. */
public data class FullJitter(
    private val first: Duration,
    private val longest: Duration,
) {
    /** The pause after the failure number [failures], counted from 1. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration {
        require(failures >= 1) { "failures must be 1 or more, got $failures" }
        val bound = minOf(longest, first * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS)))
        return random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 20
    }
}
