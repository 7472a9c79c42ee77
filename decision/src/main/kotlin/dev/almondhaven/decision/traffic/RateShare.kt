package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * One router's part of a request rate that an endpoint bears from all routers together.
 *
 * The routers take turns in the order of [position], one request a turn. A turn stays open for [turnLength] only, so
 * that a burst of callers that reaches all routers at once finds few of their turns open. The endpoint would get one
 * request from each router at the same moment otherwise.
 *
 * @property perSecond requests per second that the endpoint bears; 0 if it has no such limit.
 * @property burst requests above [perSecond] that it bears within any one second.
 * @property routers number of routers that share the rate.
 * @property position this router's place among them, from 0.
 */
public data class RateShare(
    public val perSecond: Double,
    public val burst: Double,
    public val routers: Int,
    public val position: Int,
) {
    init {
        require(perSecond >= 0) { "perSecond must not be negative, got $perSecond" }
        require(burst >= 0) { "burst must not be negative, got $burst" }
        require(routers > 0) { "routers must be positive, got $routers" }
        require(position in 0 until routers) { "position must be from 0 to ${routers - 1}, got $position" }
    }

    /** Whether the endpoint's rate is limited. */
    public val isLimited: Boolean get() = perSecond > 0

    /** Time between the starts of this router's turns. */
    public val turnInterval: Duration get() = (NANOS_PER_SECOND * routers / perSecond).nanoseconds

    /** Time from the beginning of the limit to this router's first turn. */
    public val firstTurn: Duration get() = turnInterval * position / routers

    /** Time within which a turn must be used. */
    public val turnLength: Duration
        get() = minOf(turnInterval, (NANOS_PER_SECOND * burst * USED_BURST_SHARE / perSecond).nanoseconds)

    public companion object {
        private const val NANOS_PER_SECOND = 1e9

        /** The rest of the burst is a margin for routers that learn at different times of the limit. */
        private const val USED_BURST_SHARE = 0.5

        /** The share of a router in front of endpoints without a limit. */
        public val UNLIMITED: RateShare = RateShare(perSecond = 0.0, burst = 0.0, routers = 1, position = 0)
    }
}
