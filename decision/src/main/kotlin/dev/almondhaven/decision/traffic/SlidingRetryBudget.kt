package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/**
 * This router's part of the repeats that a service may get: in any span of [window], [ratio] for each request and [slack]
 * beyond. If each router keeps its part, all of them together keep the sum. Not safe for use from several threads.
 *
 * Answers the load pattern of requests that come in clumps, each of which may need a larger model: what the requests of the
 * last seconds have earned and not spent is there for the clump, where a small store of saved repeats would run dry.
 *
 * @property window the span over which repeats are counted.
 */
public class SlidingRetryBudget(
    private val window: Duration,
    private val ratio: Double,
    private val slack: Double,
) {
    private class Slot(
        var period: Long = NEVER,
        var requests: Int = 0,
        var repeats: Int = 0,
    )

    private val slotNanos = window.inWholeNanoseconds / SLOTS
    private val slots = Array(SLOTS) { Slot() }

    init {
        require(window.isPositive()) { "window must be positive, got $window" }
        require(ratio >= 0) { "ratio must not be negative, got $ratio" }
        require(slack >= 0) { "slack must not be negative, got $slack" }
    }

    /** Notes a request of a caller at [now]. */
    public fun recordRequest(now: Long) {
        slotAt(now).requests++
    }

    /** Repeats that may be spent at [now] by a use that may take [share] of all. */
    public fun available(
        now: Long,
        share: Double = 1.0,
    ): Double {
        val period = now.floorDiv(slotNanos)
        val counted = slots.filter { period - it.period in 0 until SLOTS }
        return share * (ratio * counted.sumOf { it.requests } + slack) - counted.sumOf { it.repeats }
    }

    /** Spends one repeat at [now] for a use that may take [share] of all; false if none is left for it. */
    public fun trySpend(
        now: Long,
        share: Double = 1.0,
    ): Boolean {
        if (available(now, share) < 1) return false
        slotAt(now).repeats++
        return true
    }

    private fun slotAt(now: Long): Slot {
        val period = now.floorDiv(slotNanos)
        val slot = slots[period.mod(SLOTS)]
        if (slot.period != period) {
            slot.period = period
            slot.requests = 0
            slot.repeats = 0
        }
        return slot
    }

    private companion object {
        /** Finer slots forget more evenly; twenty make steps of half a second in ten. */
        const val SLOTS = 20
        const val NEVER = Long.MIN_VALUE / 2
    }
}
