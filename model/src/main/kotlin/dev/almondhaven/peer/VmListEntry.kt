package dev.almondhaven.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the platform says of a VM. */
@Serializable
public enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * An entry of the platform's list of VMs, which lags behind.
 *
 * @property peerAddress `ip:port` at which a router on the VM speaks the peer protocol.
 */
@Serializable
public data class VmListEntry(
    public val peerAddress: String,
    public val state: VmState = VmState.LIVE,
)
