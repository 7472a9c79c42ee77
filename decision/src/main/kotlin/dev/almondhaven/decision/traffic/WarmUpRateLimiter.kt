package dev.almondhaven.decision.traffic

/**
 * Limits the requests that this router sends to an endpoint while it is cold: one in each of the router's turns.
 * Overestimating the number of routers only makes it send less. Not thread-safe.
 *
 * @property share this router's current part of the rate; it changes as routers come and go.
 */
public class WarmUpRateLimiter(
    now: Long,
    private val share: () -> RateShare,
) {
    private var coldUntil = now
    private val turns = RequestTurns(now)

    /** Extends the cold period, which begins at [now] if the endpoint was warm, to [until] unless it ends later. */
    public fun extendTo(
        until: Long,
        now: Long,
    ) {
        if (!isCold(now)) turns.restart(now)
        if (until - coldUntil > 0) coldUntil = until
    }

    /** Whether the endpoint is cold at [now]. */
    public fun isCold(now: Long): Boolean = coldUntil - now > 0

    /** Whether a request may be sent at [now]; always true once the endpoint is warm. */
    public fun admits(now: Long): Boolean {
        if (!isCold(now)) return true
        val current = share()
        return !current.isLimited || turns.admits(current, now)
    }

    /** Records a request sent at [now], which uses up the current turn. */
    public fun recordSent(now: Long) {
        if (!isCold(now)) return
        val current = share()
        if (current.isLimited) turns.recordSent(current, now)
    }
}
