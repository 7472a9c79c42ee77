package dev.almondhaven.decision.membership

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * A router process in the fleet.
 *
 * @property peerAddress `ip:port` at which it serves the peer protocol.
 */
@Serializable
public data class Member(
    public val id: RouterId,
    public val failureDomain: FailureDomainId,
    public val peerAddress: String,
)

/**
 * The routers that this router believes to be alive. Views of different routers differ for a while after every change,
 * so no safety property may depend on a view alone.
 */
public interface FleetView {
    /** This router. */
    public val self: Member

    /** The routers believed to be alive, [self] included, sorted by id. An immutable snapshot. */
    public val members: List<Member>

    /** The members in failure domain [domain]. */
    public fun membersOf(domain: FailureDomainId): List<Member> = members.filter { it.failureDomain == domain }

    public companion object {
        /** A view that consists of [self] only. */
        public fun ofSelf(self: Member): FleetView = FixedFleetView(self, listOf(self))
    }
}

/** A view that never changes. */
public data class FixedFleetView(
    override val self: Member,
    override val members: List<Member>,
) : FleetView
