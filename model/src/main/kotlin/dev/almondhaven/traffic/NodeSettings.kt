package dev.almondhaven.traffic

import dev.almondhaven.model.FailureDomainId
import kotlin.time.Duration

/**
 * Addresses, placement and bounds of a router process, from the settings file of its VM.
 *
 * @property name unique among the VMs.
 * @property callerAddress `ip:port` that serves callers.
 * @property readyAddress `ip:port` that answers the readiness checks of the load balancer.
 * @property storeAddress `ip:port` of the platform's store.
 * @property peerAddress `ip:port` that receives datagrams and relay requests from other routers.
 * @property linkMegabits bandwidth of the VM's network link in Mbit/s; 0 if not stated.
 */
public data class NodeSettings(
    public val name: String,
    public val failureDomain: FailureDomainId,
    public val callerAddress: String,
    public val readyAddress: String,
    public val storeAddress: String,
    public val peerAddress: String,
    public val bounds: TrafficBounds,
    public val linkMegabits: Double = 0.0,
)
