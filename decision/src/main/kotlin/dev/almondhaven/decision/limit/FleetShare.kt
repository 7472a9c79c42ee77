package dev.almondhaven.decision.limit

import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.RouterId

/**
 * Divides an integer limit that applies to the whole fleet among routers. The shares of routers with the same view add
 * up to exactly the limit. The remainder of the division goes to routers chosen by rendezvous hashing, so if there are
 * more routers than slots only those get one.
 *
 * While views differ, the routers with the same view together get at most the limit, so `d` distinct views admit at
 * most `d * limit`.
 */
public object FleetShare {
    /** The share of [limit] for [self] among [sharers]; 0 if [self] isn't one of them. */
    public fun of(
        key: String,
        limit: Int,
        self: RouterId,
        sharers: List<RouterId>,
    ): Int {
        require(limit >= 0) { "limit must not be negative, got $limit" }
        if (self !in sharers) return 0
        val remainder = limit % sharers.size
        val remainderHolders = RendezvousHash.choose(key, sharers, remainder) { it.value }
        return limit / sharers.size + (if (self in remainderHolders) 1 else 0)
    }
}
