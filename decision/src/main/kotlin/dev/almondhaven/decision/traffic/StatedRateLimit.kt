package dev.almondhaven.decision.traffic

import kotlin.math.abs

/**
 * Limits the requests that this router sends to an endpoint that states how many it takes from all routers together.
 *
 * Load pattern: most endpoints of a service state limits below what they got before, and every router hears of them at
 * another moment. The routers take turns, so that all of them together keep the limit without asking each other.
 * Not thread-safe.
 *
 * @param share this router's current part of a rate; it changes as routers come and go.
 */
public class StatedRateLimit(
    now: Long,
    private val share: (perSecond: Double) -> RateShare,
) {
    /** Requests per second; null while the endpoint states no limit. */
    public var perSecond: Double? = null
        private set
    private var statedAt = now
    private val turns = RequestTurns(now)

    /**
     * Records what a response at [now] to a request sent at [sentAt] stated: [perSecond], or null for no limit. A
     * response to a request that was sent before the limit was last stated does not end it. Returns whether the limit
     * has changed.
     */
    public fun record(
        perSecond: Double?,
        sentAt: Long,
        now: Long,
    ): Boolean = if (perSecond == null && sentAt - statedAt < 0) false else update(perSecond, now)

    /** Records the limit that another router has heard of; null for none. */
    public fun recordAnnounced(
        perSecond: Double?,
        now: Long,
    ) {
        update(perSecond, now)
    }

    private fun update(
        next: Double?,
        now: Long,
    ): Boolean {
        val before = perSecond
        perSecond = next
        if (next == null) return before != null
        statedAt = now
        if (before == null) turns.restart(now)
        return before == null || abs(next - before) > before * NEGLIGIBLE_CHANGE
    }

    /** Whether a request may be sent at [now]; always true while the endpoint states no limit. */
    public fun admits(now: Long): Boolean = perSecond?.let { turns.admits(shareOf(it), now) } ?: true

    /** Part of the current turn that is left at [now]; 0 while the endpoint states no limit. */
    public fun turnLeft(now: Long): Double = perSecond?.let { turns.partLeft(shareOf(it), now) } ?: 0.0

    /** Records a request sent at [now], which uses up the current turn. */
    public fun recordSent(now: Long) {
        perSecond?.let { turns.recordSent(shareOf(it), now) }
    }

    /** An endpoint that takes nothing is still asked at times, or it could not say that it takes requests again. */
    private fun shareOf(perSecond: Double): RateShare = share(maxOf(perSecond, LEAST_PER_SECOND))

    /** Forgets the limit after the endpoint has started anew. */
    public fun clear() {
        perSecond = null
    }

    private companion object {
        /** Relative change of a limit that is not worth telling. */
        const val NEGLIGIBLE_CHANGE = 0.02
        const val LEAST_PER_SECOND = 0.1
    }
}
