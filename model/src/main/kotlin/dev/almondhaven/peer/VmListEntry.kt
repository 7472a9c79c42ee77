package dev.almondhaven.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a VM as reported by the platform. */
@Serializable
public enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * An entry of the platform's list of VMs, which lags behind the actual state.
 *
 * @property peerAddress `ip:port` at which a router on the VM serves the peer protocol.
 */
@Serializable
public data class VmListEntry(
    public val peerAddress: String,
    public val state: VmState = VmState.LIVE,
)
