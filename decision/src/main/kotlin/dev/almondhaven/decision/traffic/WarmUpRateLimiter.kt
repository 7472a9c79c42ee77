package dev.almondhaven.decision.traffic

/**
 * Limits the request rate that this router sends to an endpoint while it is cold. The platform bounds the rate of all
 * routers together, so each router takes an equal share; overestimating the number of routers only makes it send less.
 * Not thread-safe.
 */
public class WarmUpRateLimiter(
    now: Long,
) {
    private var coldUntil = now
    private var nextSendAt = now

    /** Extends the cold period to [until]; an earlier time than the current end is ignored. */
    public fun extendTo(until: Long) {
        if (until - coldUntil > 0) coldUntil = until
    }

    /** Whether the endpoint is cold at [now]. */
    public fun isCold(now: Long): Boolean = coldUntil - now > 0

    /** Whether a request may be sent at [now]; always true once the endpoint is warm. */
    public fun admits(now: Long): Boolean = !isCold(now) || now - nextSendAt >= 0

    /**
     * Records a request sent at [now]. The next one is due after this router's share of the limit of [perSecond]
     * requests, which is split evenly among [routers].
     */
    public fun recordSent(
        now: Long,
        perSecond: Double,
        routers: Int,
    ) {
        if (perSecond <= 0) return
        val share = perSecond / routers.coerceAtLeast(1)
        nextSendAt = maxOf(nextSendAt, now) + (NANOS_PER_SECOND / share).toLong()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
