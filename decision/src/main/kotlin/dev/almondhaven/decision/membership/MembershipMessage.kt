package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * Requests a page of members in order of ids, by which a router learns of members that gossip didn't bring it.
 *
 * @property after id that the page follows; null for the first page.
 */
@Serializable
public data class PageRequest(
    public val after: RouterId? = null,
    public val limit: Int,
)

/**
 * A probe, or the answer to one. Its size doesn't depend on the size of the fleet.
 *
 * @property records recent updates.
 * @property memberCount number of members in the sender's view.
 * @property pageRequest page of members that the sender asks for.
 * @property page members that the probe asked for, in an answer.
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

/** A message that [Membership] asks its caller to send. */
public sealed interface MembershipAction {
    /** Identifies the probe when its outcome is reported. */
    public val number: Long

    /**
     * Send [message] to the router at [address]; report the answer to [Membership.onProbeAnswered].
     *
     * @property target the router expected at [address]; null if any may answer.
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
