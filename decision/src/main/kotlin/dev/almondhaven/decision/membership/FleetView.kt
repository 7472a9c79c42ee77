package dev.almondhaven.decision.membership

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * A router process as the others know it.
 *
 * @property peerAddress `ip:port` at which it speaks the peer protocol.
 */
@Serializable
public data class Member(
    public val id: RouterId,
    public val failureDomain: FailureDomainId,
    public val peerAddress: String,
)

/**
 * Which routers this router holds to be alive. Views of different routers differ for a while after every change, so
 * nothing that must hold may rest on a view alone.
 */
public interface FleetView {
    /** This router. */
    public val self: Member

    /** Every router held to be alive, [self] included, in order of ids. An immutable snapshot. */
    public val members: List<Member>

    /** The live routers of [domain]. */
    public fun membersOf(domain: FailureDomainId): List<Member> = members.filter { it.failureDomain == domain }

    public companion object {
        /** The view of a router that knows no other. */
        public fun ofSelf(self: Member): FleetView = FixedFleetView(self, listOf(self))
    }
}

/** A view that never changes. */
public data class FixedFleetView(
    override val self: Member,
    override val members: List<Member>,
) : FleetView
