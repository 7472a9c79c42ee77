package dev.almondhaven.decision.limit

/**
 * A router's part of an organisation's limit when routers pool what they use: what it told the others it uses, and an
 * equal part of what is left. With equal knowledge the parts add up to the limit, wherever the traffic arrives; without
 * any knowledge each router has an equal part. News that is late by the gossip's delay lets the sum exceed the limit by
 * at most what the fleet freed and took anew in that time.
 */
public object UsageBasedShare {
    /**
     * The part of [limit] that a router may use.
     *
     * @param ownUse what this router last told the others.
     * @param fleetUse what all [routers] use by their last word, this one included.
     */
    public fun of(
        limit: Double,
        ownUse: Double,
        fleetUse: Double,
        routers: Int,
    ): Double {
        require(routers >= 1) { "routers must be 1 or more, got $routers" }
        require(ownUse <= fleetUse) { "own use $ownUse exceeds the fleet's $fleetUse" }
        val left = limit - fleetUse
        // Above the limit everyone shrinks in proportion.
        return if (left >= 0) ownUse + left / routers else ownUse * limit / fleetUse
    }
}
