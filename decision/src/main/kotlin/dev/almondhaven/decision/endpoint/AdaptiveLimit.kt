package dev.almondhaven.decision.endpoint

/**
 * One router's AIMD concurrency limit at a warm endpoint. Additive increase: it rises by one for every [limit]
 * successful responses. Multiplicative decrease: it falls by a factor when the endpoint reports overload, at most
 * once per [cooldownNanos]. Confined to one thread.
 */
internal class AdaptiveLimit(
    private var maximum: Int,
    private val cooldownNanos: Long = DEFAULT_COOLDOWN_NANOS,
) {
    private var value = maximum.toDouble()
    private var decreasedAt: Long? = null

    /** The limit, at least 1. */
    val limit: Int get() = value.toInt()

    /** Changes the upper bound. A limit that had reached the old bound moves to the new one. */
    fun setMaximum(maximum: Int) {
        if (value >= this.maximum) value = maximum.toDouble()
        this.maximum = maximum
        value = value.coerceIn(1.0, maximum.toDouble())
    }

    /** Records a successful response. */
    fun recordSuccess() {
        value = minOf(value + 1 / value, maximum.toDouble())
    }

    /** Records that the endpoint reported overload. */
    fun recordOverload(now: Long) {
        val last = decreasedAt
        if (last != null && now - last < cooldownNanos) return
        decreasedAt = now
        value = maxOf(value * DECREASE_FACTOR, 1.0)
    }

    private companion object {
        const val DECREASE_FACTOR = 0.7
        const val DEFAULT_COOLDOWN_NANOS = 200_000_000L
    }
}
