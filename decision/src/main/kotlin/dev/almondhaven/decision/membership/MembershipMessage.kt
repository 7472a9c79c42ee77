package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * A question for the members whose ids follow [after], from which a router learns what gossip didn't bring it.
 *
 * @property after null for the beginning.
 */
@Serializable
public data class PageRequest(
    public val after: RouterId? = null,
    public val limit: Int,
)

/**
 * What routers tell each other, as a probe and as the answer to one. Its size doesn't depend on the fleet's.
 *
 * @property records recent news.
 * @property memberCount members in the sender's view.
 * @property pageRequest members that the sender wants to hear of.
 * @property page the members that the answered message asked for.
 */
@Serializable
public data class MembershipMessage(
    public val from: Member,
    public val incarnation: Long,
    public val records: List<MemberRecord> = emptyList(),
    public val memberCount: Int = 1,
    public val pageRequest: PageRequest? = null,
    public val page: List<MemberRecord> = emptyList(),
)

/** Something that the membership wants sent. */
public sealed interface MembershipAction {
    /** Number to report the outcome with. */
    public val number: Long

    /**
     * Send [message] to the router at [address]; report the answer to [Membership.onProbeAnswered].
     *
     * @property target the router expected there; null when any may answer.
     */
    public data class Probe(
        override val number: Long,
        public val address: String,
        public val target: RouterId?,
        public val message: MembershipMessage,
    ) : MembershipAction

    /** Ask [via] to probe [target]; report success to [Membership.onTargetReached]. */
    public data class IndirectProbe(
        override val number: Long,
        public val via: Member,
        public val target: Member,
    ) : MembershipAction
}
