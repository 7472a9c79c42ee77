package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/**
 * This router's share of a service's retry budget: in any sliding [window], [ratio] retries for each request plus
 * [slack]. If every router stays within its share, all of them together stay within the service's budget. Not
 * thread-safe.
 *
 * Designed for requests that arrive in bursts and each need a second attempt on a larger model: the window keeps the
 * retries that earlier requests earned and did not use, whereas a token bucket of small capacity would be empty
 * before the burst ends.
 *
 * @property window the time span over which requests and retries are counted.
 * @property slack retries that are granted in each window without any request; it changes with the number of routers
 * that share the service's slack.
 */
public class SlidingRetryBudget(
    private val window: Duration,
    private val ratio: Double,
    slack: Double,
) {
    public var slack: Double = slack
        set(value) {
            require(value >= 0) { "slack must not be negative, got $value" }
            field = value
        }

    private class Slot(
        var period: Long = UNUSED_PERIOD,
        var requests: Int = 0,
        var retries: Int = 0,
    )

    private val slotNanos = window.inWholeNanoseconds / SLOTS
    private val slots = Array(SLOTS) { Slot() }

    init {
        require(window.isPositive()) { "window must be positive, got $window" }
        require(ratio >= 0) { "ratio must not be negative, got $ratio" }
        require(slack >= 0) { "slack must not be negative, got $slack" }
    }

    /** Records a caller's request at [now]. */
    public fun recordRequest(now: Long) {
        slotAt(now).requests++
    }

    /** Retries available at [now] to a purpose that may use up to [share] of the whole budget. */
    public fun available(
        now: Long,
        share: Double = 1.0,
    ): Double {
        val period = now.floorDiv(slotNanos)
        val counted = slots.filter { period - it.period in 0 until SLOTS }
        return share * (ratio * counted.sumOf { it.requests } + slack) - counted.sumOf { it.retries }
    }

    /** Spends one retry at [now] for a purpose that may use up to [share] of the budget; false if none is available. */
    public fun trySpend(
        now: Long,
        share: Double = 1.0,
    ): Boolean {
        if (available(now, share) < 1) return false
        slotAt(now).retries++
        return true
    }

    private fun slotAt(now: Long): Slot {
        val period = now.floorDiv(slotNanos)
        val slot = slots[period.mod(SLOTS)]
        if (slot.period != period) {
            slot.period = period
            slot.requests = 0
            slot.retries = 0
        }
        return slot
    }

    private companion object {
        /** More slots make the window slide more smoothly; 20 make steps of half a second in a window of 10 s. */
        const val SLOTS = 20
        const val UNUSED_PERIOD = Long.MIN_VALUE / 2
    }
}
