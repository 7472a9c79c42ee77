package dev.almondhaven.decision.endpoint

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Slow start of an endpoint after its process started: the requests that all routers together may have in flight there
 * begin at [initialLimit] and double every [doublingInterval].
 */
public data class SlowStart(
    public val initialLimit: Int = DEFAULT_INITIAL_LIMIT,
    public val doublingInterval: Duration = DEFAULT_DOUBLING_INTERVAL,
) {
    init {
        require(initialLimit >= 1) { "initialLimit must be 1 or more, got $initialLimit" }
        require(doublingInterval.isPositive()) { "doublingInterval must be positive, got $doublingInterval" }
    }

    /** The fleet-wide limit at [age] after the start; null once it has reached [slots] and the endpoint is warm. */
    public fun fleetLimit(
        slots: Int,
        age: Duration,
    ): Int? {
        if (age.isNegative()) return minOf(initialLimit, slots)
        val doublings = minOf((age / doublingInterval).toInt(), MAXIMUM_DOUBLINGS)
        val limit = initialLimit.toLong() shl doublings
        return if (limit >= slots && doublings > 0) null else minOf(limit, slots.toLong()).toInt()
    }

    public companion object {
        public const val DEFAULT_INITIAL_LIMIT: Int = 2
        private const val MAXIMUM_DOUBLINGS = 20
        private val DEFAULT_DOUBLING_INTERVAL = 3.seconds
    }
}
