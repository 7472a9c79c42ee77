package dev.almondhaven.traffic

import dev.almondhaven.model.FailureDomainId

/**
 * What a router's entry in the platform's store tells the other routers.
 *
 * @property peerAddress `ip:port` that receives datagrams and relay requests.
 * @property failureDomain null in the entry of a version that did not state it.
 * @property linkMegabits bandwidth of the VM's network link in Mbit/s; 0 if not stated.
 */
public data class RouterEntry(
    public val peerAddress: String,
    public val failureDomain: FailureDomainId?,
    public val linkMegabits: Double,
)
