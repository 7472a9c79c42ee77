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

/** What rides on gossip besides membership and configuration. */
public interface GossipSections {
    /** Sections for one message, at most [budgetBytes] together. */
    public fun outgoing(budgetBytes: Int): Map<String, JsonElement>

    /** Takes in the sections that [from] sent. */
    public fun incoming(
        from: RouterId,
        sections: Map<String, JsonElement>,
    )

    /** Nothing rides along. */
    public object None : GossipSections {
        override fun outgoing(budgetBytes: Int): Map<String, JsonElement> = emptyMap()

        override fun incoming(
            from: RouterId,
            sections: Map<String, JsonElement>,
        ): Unit = Unit
    }
}

/**
 * One router's side of the gossip: keeps the membership, tells the generation in force, and fetches a newer
 * configuration from whoever tells of one. A configuration that is new here is announced to a few routers at once, so
 * it spreads in a number of steps that grows with the logarithm of the fleet.
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
    private var announced = holder.generation
    private var fetchEndsAt = Long.MIN_VALUE
    private var lastTeller: Member? = null

    /** Lets time pass; returns what has to be sent. */
    public fun tick(now: Long): List<PeerRequest> =
        membership.tick(now).map { request(now, it) } + announceNews(now) + fetchAgain(now)

    /** Answers a probe with [body]; throws [IllegalArgumentException] when it can't be read. */
    public fun answerProbe(
        now: Long,
        body: String,
    ): String {
        val message = decode(body)
        val answer = membership.onProbe(now, message.membership)
        hear(now, message)
        return encode(now, answer)
    }

    /** Answers a request for a newer configuration. */
    public fun answerFetch(body: String): String {
        val request = json.decodeFromString(ConfigurationRequest.serializer(), body)
        val newer = holder.catalogue.takeIf { it.generation > request.newerThan }
        return json.encodeToString(ConfigurationAnswer.serializer(), ConfigurationAnswer(newer))
    }

    /** The probe that another router asked for with [body]. */
    public fun relayedProbe(
        now: Long,
        body: String,
    ): PeerRequest {
        val target = json.decodeFromString(IndirectProbeMessage.serializer(), body).target
        return request(now, membership.probeFor(target))
    }

    /** Takes in the [answer] to [request], or that there was none; returns what has to be sent next. */
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
        return announceNews(now) + fetchAgain(now)
    }

    /** Stops taking part; the result tells a few others. */
    public fun leave(now: Long): List<PeerRequest> = membership.leave(FANOUT).map { request(now, it) }

    private fun probeAnswered(
        now: Long,
        request: PeerRequest.Probe,
        answer: String,
    ) {
        val message = decode(answer)
        membership.onProbeAnswered(now, request.probe, message.membership)
        hear(now, message)
    }

    private fun indirectProbeAnswered(
        request: PeerRequest.IndirectProbe,
        answer: String,
    ) {
        val reached = json.decodeFromString(IndirectProbeAnswer.serializer(), answer).reached
        if (reached) membership.onTargetReached(request.number)
    }

    private fun hear(
        now: Long,
        message: GossipMessage,
    ) {
        val from = message.membership.from
        freshness.recordGossip(now, message.configuration)
        if (message.configuration.generation > holder.generation) lastTeller = from
        sections.incoming(from.id, message.topics)
    }

    private fun fetchAgain(now: Long): List<PeerRequest> {
        val teller = lastTeller ?: return emptyList()
        if (now < fetchEndsAt) return emptyList()
        lastTeller = null
        fetchEndsAt = now + FETCH_TIMEOUT.inWholeNanoseconds
        val body = json.encodeToString(ConfigurationRequest.serializer(), ConfigurationRequest(holder.generation))
        return listOf(PeerRequest.Fetch(teller, body))
    }

    private fun fetched(answer: String?) {
        fetchEndsAt = Long.MIN_VALUE
        val text = answer ?: return
        json.decodeFromString(ConfigurationAnswer.serializer(), text).catalogue?.let { holder.offer(it) }
        if (holder.generation > announced) lastTeller = null
    }

    private fun announceNews(now: Long): List<PeerRequest> {
        val held: Generation = holder.generation
        if (held <= announced) return emptyList()
        announced = held
        return membership.announce(FANOUT).map { request(now, it) }
    }

    private fun request(
        now: Long,
        action: MembershipAction,
    ): PeerRequest =
        when (action) {
            is MembershipAction.Probe -> {
                val to = Member(action.target ?: ANYBODY, NO_DOMAIN, action.address)
                PeerRequest.Probe(to, encode(now, action.message), action)
            }

            is MembershipAction.IndirectProbe -> {
                val body = IndirectProbeMessage(action.target)
                val text = json.encodeToString(IndirectProbeMessage.serializer(), body)
                PeerRequest.IndirectProbe(action.via, text, action.number)
            }
        }

    private fun encode(
        now: Long,
        message: MembershipMessage,
    ): String {
        val gossip = GossipMessage(message, freshness.gossip(now, holder.generation), sections.outgoing(TOPIC_BYTES))
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
        private const val TOPIC_BYTES = 1_000
        private val FETCH_TIMEOUT = 2.seconds
        private val ANYBODY = RouterId("")
        private val NO_DOMAIN = FailureDomainId("")

        /** Answer to an [IndirectProbeMessage]. */
        public fun indirectAnswer(reached: Boolean): String =
            PeerProtocol.json.encodeToString(IndirectProbeAnswer.serializer(), IndirectProbeAnswer(reached))
    }
}
