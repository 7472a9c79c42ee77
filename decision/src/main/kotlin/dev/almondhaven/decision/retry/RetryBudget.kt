package dev.almondhaven.decision.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits retries in proportion to successes: each success earns a fraction of a retry, and each retry spends a whole
 * one. Without successes nothing is earned, so an outage causes at most [capacity] retries from each process. Since the
 * budget is a ratio, it also bounds the whole fleet: retries never exceed
 * `successes * earnedPerSuccess + processes * capacity`.
 *
 * @property earnedPerSuccess fraction of a retry that a success earns.
 * @property capacity most retries that can accumulate.
 */
public class RetryBudget(
    private val earnedPerSuccess: Double = DEFAULT_EARNED_PER_SUCCESS,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val unitsPerSuccess = (earnedPerSuccess * UNITS_PER_RETRY).toLong()
    private val capacityUnits = capacity * UNITS_PER_RETRY
    private val balance = AtomicLong(capacityUnits)

    init {
        require(earnedPerSuccess in 0.0..1.0) { "earnedPerSuccess must be from 0 to 1, got $earnedPerSuccess" }
        require(capacity >= 0) { "capacity must not be negative, got $capacity" }
    }

    /** Number of retries that can be spent now. */
    public val available: Double get() = balance.get().toDouble() / UNITS_PER_RETRY

    /** Adds the credit of one success. */
    public fun recordSuccess() {
        if (balance.get() >= capacityUnits) return
        balance.updateAndGet { minOf(it + unitsPerSuccess, capacityUnits) }
    }

    /** Spends one retry; false if less than one is available. */
    public fun trySpend(): Boolean {
        while (true) {
            val current = balance.get()
            if (current < UNITS_PER_RETRY) return false
            if (balance.compareAndSet(current, current - UNITS_PER_RETRY)) return true
        }
    }

    public companion object {
        public const val DEFAULT_EARNED_PER_SUCCESS: Double = 0.1
        public const val DEFAULT_CAPACITY: Int = 20
        private const val UNITS_PER_RETRY = 1_000_000L
    }
}
