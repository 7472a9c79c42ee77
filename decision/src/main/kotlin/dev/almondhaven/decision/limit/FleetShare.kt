package dev.almondhaven.decision.limit

import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.RouterId

/**
 * One router's part of a limit that the fleet holds together. Routers that share a view get parts that add up to the
 * limit exactly; where there are more routers than slots, only rendezvous-chosen ones get a slot.
 *
 * While views differ, the holders of each distinct view get at most the limit together, so that `d` views held at once
 * admit at most `d * limit`.
 */
public object FleetShare {
    /** The part of [limit] that falls to [self] among [sharers]; 0 when [self] isn't one of them. */
    public fun of(
        key: String,
        limit: Int,
        self: RouterId,
        sharers: List<RouterId>,
    ): Int {
        require(limit >= 0) { "limit must not be negative, got $limit" }
        if (self !in sharers) return 0
        val remainder = limit % sharers.size
        val favoured = RendezvousHash.choose(key, sharers, remainder) { it.value }
        return limit / sharers.size + (if (self in favoured) 1 else 0)
    }
}
