package dev.almondhaven.decision.traffic

import kotlin.math.abs

/** The requests per second that an endpoint states it takes from all routers together. Not thread-safe. */
public class StatedRateLimit {
    /** Null while the endpoint states no limit. */
    public var perSecond: Double? = null
        private set
    private var statedAt = 0L

    /**
     * Records what a response at [now] to a request sent at [sentAt] stated: [perSecond], or null for no limit. A
     * response to a request that was sent before the limit was last stated does not end it. Returns whether the limit
     * has changed.
     */
    public fun record(
        perSecond: Double?,
        sentAt: Long,
        now: Long,
    ): Boolean {
        val before = this.perSecond
        if (perSecond == null && (before == null || sentAt - statedAt < 0)) return false
        this.perSecond = perSecond
        statedAt = now
        return before == null || perSecond == null || abs(perSecond - before) > before * NEGLIGIBLE_CHANGE
    }

    /** Forgets the limit after the endpoint has started anew. */
    public fun clear() {
        perSecond = null
    }

    private companion object {
        /** Relative change of a limit that is not worth telling. */
        const val NEGLIGIBLE_CHANGE = 0.02
    }
}
