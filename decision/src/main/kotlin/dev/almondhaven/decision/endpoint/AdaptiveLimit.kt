package dev.almondhaven.decision.endpoint

/**
 * One router's concurrency limit at a warm endpoint: it rises by one for each limit's worth of good answers (additive
 * increase) and falls by a factor, at most once a [cooldownNanos], when the endpoint says that it is overloaded.
 * Belongs to one thread.
 */
internal class AdaptiveLimit(
    private var maximum: Int,
    private val cooldownNanos: Long = DEFAULT_COOLDOWN_NANOS,
) {
    private var value = maximum.toDouble()
    private var decreasedAt: Long? = null

    /** The limit, at least 1. */
    val limit: Int get() = value.toInt()

    fun setMaximum(maximum: Int) {
        if (value >= this.maximum) value = maximum.toDouble()
        this.maximum = maximum
        value = value.coerceIn(1.0, maximum.toDouble())
    }

    fun recordSuccess() {
        value = minOf(value + 1 / value, maximum.toDouble())
    }

    fun recordOverload(now: Long) {
        val last = decreasedAt
        if (last != null && now - last < cooldownNanos) return
        decreasedAt = now
        value = maxOf(value * DECREASE, 1.0)
    }

    private companion object {
        const val DECREASE = 0.7
        const val DEFAULT_COOLDOWN_NANOS = 200_000_000L
    }
}
