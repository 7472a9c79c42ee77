package dev.almondhaven.traffic

import dev.almondhaven.model.FailureDomainId
import kotlin.time.Duration

/**
 * Where a router process runs and what holds there, as its VM's settings tell.
 *
 * @property name unique among the VMs.
 * @property callerAddress `ip:port` on which callers are served.
 * @property readyAddress `ip:port` on which the balancer asks whether the router takes connections.
 * @property storeAddress `ip:port` of the platform's store.
 * @property peerAddress `ip:port` on which other routers' datagrams are received.
 */
public data class NodeSettings(
    public val name: String,
    public val failureDomain: FailureDomainId,
    public val callerAddress: String,
    public val readyAddress: String,
    public val storeAddress: String,
    public val peerAddress: String,
    public val bounds: TrafficBounds,
)
