package dev.almondhaven.decision.traffic

/**
 * This router's part of the requests that one cold endpoint bears. The bound is of all routers together, so each takes
 * an equal part; a router that overestimates their number only sends less. Not safe for use from several threads.
 */
public class WarmUpRateLimiter(
    now: Long,
) {
    private var coldUntil = now
    private var nextAt = now

    /** Treats the endpoint as cold until [until], if that is later than what is known. */
    public fun extendTo(until: Long) {
        if (until - coldUntil > 0) coldUntil = until
    }

    /** Whether the endpoint is cold at [now]. */
    public fun isCold(now: Long): Boolean = coldUntil - now > 0

    /** Whether a request may be sent at [now]. */
    public fun admits(now: Long): Boolean = !isCold(now) || now - nextAt >= 0

    /** Notes a request sent at [now], of [perSecond] that all routers may send and [routers] that share them. */
    public fun recordSent(
        now: Long,
        perSecond: Double,
        routers: Int,
    ) {
        if (perSecond <= 0) return
        val share = perSecond / routers.coerceAtLeast(1)
        nextAt = maxOf(nextAt, now) + (NANOS_PER_SECOND / share).toLong()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
