package dev.almondhaven.decision.limit

/**
 * A router's share of an organisation's limit: the usage that it last reported, plus an equal part of the unused rest.
 * If all routers have the same usage reports, the shares add up to the limit, wherever the traffic arrives; without any
 * reports, every router gets an equal share. The gossip delay lets the sum exceed the limit by at most the usage that
 * the fleet released and took up again within that delay.
 */
public object UsageBasedShare {
    /**
     * The share of [limit] that a router may use.
     *
     * @param ownUsage the usage that this router last reported.
     * @param fleetUsage the total of the usage last reported by all [routers], this one included.
     */
    public fun of(
        limit: Double,
        ownUsage: Double,
        fleetUsage: Double,
        routers: Int,
    ): Double {
        require(routers >= 1) { "routers must be 1 or more, got $routers" }
        require(ownUsage <= fleetUsage) { "own usage $ownUsage exceeds the fleet's usage $fleetUsage" }
        val unused = limit - fleetUsage
        // Above the limit, all shares are scaled down in proportion.
        return if (unused >= 0) ownUsage + unused / routers else ownUsage * limit / fleetUsage
    }
}
