package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.Membership
import dev.almondhaven.decision.membership.MembershipAction
import dev.almondhaven.decision.membership.MembershipMessage
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.ConfigurationAnswer
import dev.almondhaven.peer.ConfigurationRequest
import dev.almondhaven.peer.PeerProtocol
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.seconds

/** Further sections of gossip messages, besides membership and configuration. */
public interface GossipSections {
    /** The sections for one message, at most [budgetBytes] in total. */
    public fun outgoing(budgetBytes: Int): Map<String, JsonElement>

    /** Processes the sections received from [from]. */
    public fun incoming(
        from: RouterId,
        sections: Map<String, JsonElement>,
    )

    /** No further sections. */
    public object None : GossipSections {
        override fun outgoing(budgetBytes: Int): Map<String, JsonElement> = emptyMap()

        override fun incoming(
            from: RouterId,
            sections: Map<String, JsonElement>,
        ): Unit = Unit
    }
}

/**
 * One router's side of the gossip protocol. It maintains the membership, gossips the configuration generation in force,
 * and fetches a newer configuration from a router that gossips one. A new configuration is announced to a few routers
 * at once, so the number of steps in which it spreads grows with the logarithm of the fleet size.
 *
 * Not safe for use by several threads.
 */
public class GossipExchange(
    private val membership: Membership,
    private val holder: ConfigurationHolder,
    private val freshness: ConfigurationFreshness,
    private val sections: GossipSections = GossipSections.None,
) {
    private val json = PeerProtocol.json
    private var announcedGeneration = holder.generation
    private var fetchDeadline = Long.MIN_VALUE
    private var newerSource: Member? = null

    /** Advances time to [now] and returns the messages to send. */
    public fun tick(now: Long): List<PeerRequest> =
        membership.tick(now).map { request(now, it) } + announceIfNew(now) + fetchIfNewer(now)

    /** Returns the answer to a probe with [body]; throws [IllegalArgumentException] if the body can't be decoded. */
    public fun answerProbe(
        now: Long,
        body: String,
    ): String {
        val message = decode(body)
        val answer = membership.onProbe(now, message.membership)
        receive(now, message)
        return encode(now, answer)
    }

    /** Returns the answer to a request for a newer configuration. */
    public fun answerFetch(body: String): String {
        val request = json.decodeFromString(ConfigurationRequest.serializer(), body)
        val newer = holder.catalogue.takeIf { it.generation > request.newerThan }
        return json.encodeToString(ConfigurationAnswer.serializer(), ConfigurationAnswer(newer))
    }

    /** The probe to send on behalf of another router, which asked for it with [body]. */
    public fun relayedProbe(
        now: Long,
        body: String,
    ): PeerRequest {
        val target = json.decodeFromString(IndirectProbeMessage.serializer(), body).target
        return request(now, membership.probeFor(target))
    }

    /** Processes the [answer] to [request], null if it failed, and returns the messages to send next. */
    public fun onCompleted(
        now: Long,
        request: PeerRequest,
        answer: String?,
    ): List<PeerRequest> {
        when (request) {
            is PeerRequest.Probe -> answer?.let { probeAnswered(now, request, it) }
            is PeerRequest.IndirectProbe -> answer?.let { indirectProbeAnswered(request, it) }
            is PeerRequest.Fetch -> fetched(answer)
        }
        return announceIfNew(now) + fetchIfNewer(now)
    }

    /** Stops probing; the result announces the shutdown to a few other routers. */
    public fun leave(now: Long): List<PeerRequest> = membership.leave(FANOUT).map { request(now, it) }

    private fun probeAnswered(
        now: Long,
        request: PeerRequest.Probe,
        answer: String,
    ) {
        val message = decode(answer)
        membership.onProbeAnswered(now, request.probe, message.membership)
        receive(now, message)
    }

    private fun indirectProbeAnswered(
        request: PeerRequest.IndirectProbe,
        answer: String,
    ) {
        val reached = json.decodeFromString(IndirectProbeAnswer.serializer(), answer).reached
        if (reached) membership.onTargetReached(request.number)
    }

    private fun receive(
        now: Long,
        message: GossipMessage,
    ) {
        val from = message.membership.from
        freshness.recordGossip(now, message.configuration)
        if (message.configuration.generation > holder.generation) newerSource = from
        sections.incoming(from.id, message.topics)
    }

    private fun fetchIfNewer(now: Long): List<PeerRequest> {
        val source = newerSource ?: return emptyList()
        if (now < fetchDeadline) return emptyList()
        newerSource = null
        fetchDeadline = now + FETCH_TIMEOUT.inWholeNanoseconds
        val body = json.encodeToString(ConfigurationRequest.serializer(), ConfigurationRequest(holder.generation))
        return listOf(PeerRequest.Fetch(source, body))
    }

    private fun fetched(answer: String?) {
        fetchDeadline = Long.MIN_VALUE
        val text = answer ?: return
        json.decodeFromString(ConfigurationAnswer.serializer(), text).catalogue?.let { holder.offer(it) }
        if (holder.generation > announcedGeneration) newerSource = null
    }

    private fun announceIfNew(now: Long): List<PeerRequest> {
        val current: Generation = holder.generation
        if (current <= announcedGeneration) return emptyList()
        announcedGeneration = current
        return membership.announce(FANOUT).map { request(now, it) }
    }

    private fun request(
        now: Long,
        action: MembershipAction,
    ): PeerRequest =
        when (action) {
            is MembershipAction.Probe -> {
                val to = Member(action.target ?: UNKNOWN_ROUTER, UNKNOWN_DOMAIN, action.address)
                PeerRequest.Probe(to, encode(now, action.message), action)
            }

            is MembershipAction.IndirectProbe -> {
                val message = IndirectProbeMessage(action.target)
                val text = json.encodeToString(IndirectProbeMessage.serializer(), message)
                PeerRequest.IndirectProbe(action.via, text, action.number)
            }
        }

    private fun encode(
        now: Long,
        message: MembershipMessage,
    ): String {
        val gossip =
            GossipMessage(message, freshness.gossip(now, holder.generation), sections.outgoing(MAX_TOPIC_BYTES))
        return json.encodeToString(GossipMessage.serializer(), gossip)
    }

    private fun decode(body: String): GossipMessage = json.decodeFromString(GossipMessage.serializer(), body)

    public companion object {
        /** Path of a [GossipMessage]. */
        public const val PROBE: String = "probe"

        /** Path of an [IndirectProbeMessage]. */
        public const val INDIRECT_PROBE: String = "indirect-probe"

        /** Path of a [ConfigurationRequest]. */
        public const val FETCH: String = PeerProtocol.CONFIGURATION_REQUEST

        private const val FANOUT = 3
        private const val MAX_TOPIC_BYTES = 1_000
        private val FETCH_TIMEOUT = 2.seconds
        private val UNKNOWN_ROUTER = RouterId("")
        private val UNKNOWN_DOMAIN = FailureDomainId("")

        /** Answer to an [IndirectProbeMessage]. */
        public fun indirectAnswer(reached: Boolean): String =
            PeerProtocol.json.encodeToString(IndirectProbeAnswer.serializer(), IndirectProbeAnswer(reached))
    }
}
