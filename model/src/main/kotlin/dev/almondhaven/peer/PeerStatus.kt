package dev.almondhaven.peer

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * Status that a router reports to its peers and to the operator command.
 *
 * @property generation generation in force on the router.
 * @property digest digest of the catalogue in force; equal on all routers with the same generation.
 * @property inForceSince epoch milliseconds at which the generation took effect there; null before the first one.
 * @property staleSince epoch milliseconds since which no reachable router has confirmed the generation with the
 * platform; null while it is confirmed.
 * @property platformReachable whether the platform responded to the router's last call.
 * @property ready whether the router accepts requests from callers.
 * @property draining whether the router is draining before it stops.
 * @property members every router that this one considers alive, including itself.
 */
@Serializable
public data class PeerStatus(
    public val id: RouterId,
    public val failureDomain: FailureDomainId,
    public val generation: Generation = Generation.NONE,
    public val digest: String = "",
    public val inForceSince: Long? = null,
    public val staleSince: Long? = null,
    public val platformReachable: Boolean = true,
    public val ready: Boolean = false,
    public val draining: Boolean = false,
    public val members: List<PeerMember> = emptyList(),
)

/**
 * A router in another router's membership view.
 *
 * @property suspected whether the router has stopped responding and will be removed unless it responds again.
 */
@Serializable
public data class PeerMember(
    public val id: RouterId,
    public val failureDomain: FailureDomainId,
    public val peerAddress: String,
    public val suspected: Boolean = false,
)
