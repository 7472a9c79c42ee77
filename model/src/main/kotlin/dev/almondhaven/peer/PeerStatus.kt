package dev.almondhaven.peer

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * What a router tells of itself to its peers and to the operators' command.
 *
 * @property generation generation in force on the router.
 * @property digest digest of the catalogue in force; routers at one generation have the same.
 * @property inForceSince epoch milliseconds at which the generation came in force here; null before the first one.
 * @property staleSince epoch milliseconds since which nobody within reach has confirmed the generation with the
 * platform; null while it is confirmed.
 * @property platformReachable whether the router's own last call of the platform had an answer.
 * @property ready whether the router takes callers' requests.
 * @property draining whether the router is about to stop.
 * @property members every router that this one holds to be alive, itself included.
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
 * A router as another one sees it.
 *
 * @property suspected whether it has stopped answering and will be dropped unless it does again.
 */
@Serializable
public data class PeerMember(
    public val id: RouterId,
    public val failureDomain: FailureDomainId,
    public val peerAddress: String,
    public val suspected: Boolean = false,
)
