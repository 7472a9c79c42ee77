package dev.almondhaven.router.claim

import arrow.core.Either
import dev.almondhaven.decision.claim.Attempt
import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.AttemptStatus
import dev.almondhaven.decision.claim.ClaimOperation
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.ClaimVerdict
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.NanoClock
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.router.peer.PeerHandlers
import dev.almondhaven.router.peer.PeerTransport
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Asks an attempt's holder for its status. */
@Serializable
internal data class AttemptStatusRequest(
    val attempt: Attempt,
)

/** The holder's answer to an [AttemptStatusRequest]. */
@Serializable
internal data class AttemptStatusResponse(
    val status: AttemptStatus,
)

/** Asks a shard's owner to settle an operation. */
@Serializable
internal data class RelayedOperation(
    val number: Long,
    val from: Member,
    val shard: ClaimShard,
    val operation: ClaimOperation,
)

/** Says that a message was taken; what comes of it is sent on its own. */
@Serializable
internal data class RelayAcknowledgement(
    val accepted: Boolean = true,
)

/** What came of the [RelayedOperation] with the same [number]. */
@Serializable
internal data class RelayedVerdict(
    val number: Long,
    val verdict: ClaimVerdict,
)

/**
 * The routers' part in claims. A shard's owner only saves writes: whoever can't reach it writes by itself, and owner
 * and router may both write the same operation, since applying it twice has the effect of applying it once.
 */
internal class ClaimPeerProtocol(
    private val view: () -> FleetView,
    private val transport: PeerTransport,
    private val writers: ClaimWriterPool,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
    private val relayTimeout: Duration,
) {
    private val relayed = ConcurrentHashMap<Long, CompletableFuture<ClaimVerdict>>()
    private val relayNumbers = AtomicLong()

    /** Takes the messages of the other routers. */
    fun register(handlers: PeerHandlers) {
        handlers.register(ASK_PATH, ::answerQuestion)
        handlers.register(RELAY_PATH, ::settleRelayed)
        handlers.register(VERDICT_PATH, ::takeVerdict)
    }

    /** Settles [operation] by way of the shard's owner, or directly. */
    fun settle(
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict> {
        val owner = RendezvousHash.choose(shard.value, view().members, 1) { it.id.value }.firstOrNull()
        if (owner == null || owner.id == view().self.id) return writers.submit(shard, operation)
        return relay(owner, shard, operation).thenCompose { verdict ->
            verdict?.let { CompletableFuture.completedFuture(it) } ?: writers.submit(shard, operation)
        }
    }

    /** The verdict that [owner] sends back, or null if it doesn't come in time. */
    private fun relay(
        owner: Member,
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict?> {
        val number = relayNumbers.incrementAndGet()
        val verdict = CompletableFuture<ClaimVerdict>()
        relayed[number] = verdict
        val message = RelayedOperation(number, view().self, shard, operation)
        post(owner, RELAY_PATH, message, RelayedOperation.serializer(), RelayAcknowledgement.serializer())
            .thenAccept { accepted -> if (accepted == null) verdict.cancel(false) }
        return verdict
            .orTimeout(relayTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .handle { result, _ -> result.also { relayed.remove(number) } }
    }

    /** The status of [attempt] by its holder; null if the holder can't be reached. */
    fun ask(attempt: Attempt): CompletableFuture<AttemptStatus?> {
        if (attempt.holder == view().self.id) {
            return CompletableFuture.completedFuture(ledger.statusAt(attempt, clock.nanos()))
        }
        val holder = memberOrNull(attempt) ?: return CompletableFuture.completedFuture(null)
        val message = AttemptStatusRequest(attempt)
        return post(holder, ASK_PATH, message, AttemptStatusRequest.serializer(), AttemptStatusResponse.serializer())
            .thenApply { it?.status }
    }

    /** Whether the holder of [attempt] is held to be alive. */
    fun holderLives(attempt: Attempt): Boolean = memberOrNull(attempt) != null

    private fun memberOrNull(attempt: Attempt): Member? = view().members.firstOrNull { it.id == attempt.holder }

    private fun <Q, A : Any> post(
        to: Member,
        path: String,
        message: Q,
        questions: KSerializer<Q>,
        answers: KSerializer<A>,
    ): CompletableFuture<A?> =
        transport
            .post(to, path, json.encodeToString(questions, message))
            .orTimeout(relayTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .handle { result, _ -> (result as? Either.Right)?.let { decodeOrNull(answers, it.value) } }

    private fun <A : Any> decodeOrNull(
        answers: KSerializer<A>,
        text: String,
    ): A? = runCatching { json.decodeFromString(answers, text) }.getOrNull()

    private fun answerQuestion(body: String): String {
        val question = json.decodeFromString(AttemptStatusRequest.serializer(), body)
        return json.encodeToString(
            AttemptStatusResponse.serializer(),
            AttemptStatusResponse(ledger.statusAt(question.attempt, clock.nanos())),
        )
    }

    private fun settleRelayed(body: String): String {
        val message = json.decodeFromString(RelayedOperation.serializer(), body)
        writers.submit(message.shard, message.operation).thenAccept { verdict ->
            val answer = RelayedVerdict(message.number, verdict)
            post(message.from, VERDICT_PATH, answer, RelayedVerdict.serializer(), RelayAcknowledgement.serializer())
        }
        return ACCEPTED
    }

    private fun takeVerdict(body: String): String {
        val message = json.decodeFromString(RelayedVerdict.serializer(), body)
        relayed.remove(message.number)?.complete(message.verdict)
        return ACCEPTED
    }

    private companion object {
        const val ASK_PATH = "claims/ask"
        const val RELAY_PATH = "claims/relay"
        const val VERDICT_PATH = "claims/verdict"
        val json = PeerProtocol.json
        val ACCEPTED = json.encodeToString(RelayAcknowledgement.serializer(), RelayAcknowledgement())
    }
}
