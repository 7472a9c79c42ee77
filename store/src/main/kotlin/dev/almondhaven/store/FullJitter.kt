package dev.almondhaven.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Exponential backoff with full jitter: random delays up to a bound that doubles per failure up to [cap]. */
public data class FullJitter(
    private val base: Duration,
    private val cap: Duration,
) {
    /** Returns the delay after [failures] consecutive failures, at least 1. */
    public fun delay(
        failures: Int,
        random: Random,
    ): Duration {
        require(failures >= 1) { "failures must be 1 or more, got $failures" }
        val bound = minOf(cap, base * (1 shl minOf(failures - 1, MAX_DOUBLINGS)))
        return random.nextLong(bound.inWholeNanoseconds + 1).nanoseconds
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
