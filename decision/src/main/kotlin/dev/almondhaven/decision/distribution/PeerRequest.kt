package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.MembershipAction
import dev.almondhaven.decision.membership.MembershipMessage
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Body of a probe and of its answer. */
@Serializable
public data class GossipMessage(
    public val membership: MembershipMessage,
    public val configuration: ConfigurationGossip,
    public val topics: Map<String, JsonElement> = emptyMap(),
)

/** Asks the receiver to probe [target]. */
@Serializable
public data class IndirectProbeMessage(
    public val target: Member,
)

/** Answer to an [IndirectProbeMessage]. */
@Serializable
public data class IndirectProbeAnswer(
    public val reached: Boolean = false,
)

/** A message to another router, to be answered or reported as failed to [GossipExchange.onCompleted]. */
public sealed interface PeerRequest {
    public val to: Member
    public val path: String
    public val body: String

    /** A probe that the membership asked for. */
    public data class Probe(
        override val to: Member,
        override val body: String,
        internal val probe: MembershipAction.Probe,
    ) : PeerRequest {
        override val path: String get() = GossipExchange.PROBE
    }

    /** A probe through another router. */
    public data class IndirectProbe(
        override val to: Member,
        override val body: String,
        internal val number: Long,
    ) : PeerRequest {
        override val path: String get() = GossipExchange.INDIRECT_PROBE
    }

    /** A request for a newer configuration. */
    public data class Fetch(
        override val to: Member,
        override val body: String,
    ) : PeerRequest {
        override val path: String get() = GossipExchange.FETCH
    }
}
