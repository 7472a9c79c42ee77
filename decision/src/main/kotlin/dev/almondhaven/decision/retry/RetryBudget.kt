package dev.almondhaven.decision.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds retries by successes: each success earns a part of a retry, and each retry spends a whole one. While nothing
 * succeeds nothing is earned, so that an outage meets at most [capacity] retries from each process. As the budget is a
 * ratio, it holds over the fleet in sum: retries never exceed `successes * earnedPerSuccess + processes * capacity`.
 *
 * @property earnedPerSuccess retries that a success earns.
 * @property capacity most retries that can be saved up.
 */
public class RetryBudget(
    private val earnedPerSuccess: Double = DEFAULT_EARNED_PER_SUCCESS,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val earnedUnits = (earnedPerSuccess * UNITS_PER_RETRY).toLong()
    private val capacityUnits = capacity * UNITS_PER_RETRY
    private val balance = AtomicLong(capacityUnits)

    init {
        require(earnedPerSuccess in 0.0..1.0) { "earnedPerSuccess must be from 0 to 1, got $earnedPerSuccess" }
        require(capacity >= 0) { "capacity must not be negative, got $capacity" }
    }

    /** Retries that can be spent now. */
    public val available: Double get() = balance.get().toDouble() / UNITS_PER_RETRY

    /** Earns for one success. */
    public fun recordSuccess() {
        if (balance.get() >= capacityUnits) return
        balance.updateAndGet { minOf(it + earnedUnits, capacityUnits) }
    }

    /** Spends one retry; false when the budget doesn't hold one. */
    public fun trySpend(): Boolean {
        while (true) {
            val held = balance.get()
            if (held < UNITS_PER_RETRY) return false
            if (balance.compareAndSet(held, held - UNITS_PER_RETRY)) return true
        }
    }

    public companion object {
        public const val DEFAULT_EARNED_PER_SUCCESS: Double = 0.1
        public const val DEFAULT_CAPACITY: Int = 20
        private const val UNITS_PER_RETRY = 1_000_000L
    }
}
