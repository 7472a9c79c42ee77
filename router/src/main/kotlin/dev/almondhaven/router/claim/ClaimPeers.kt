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
import dev.almondhaven.router.peer.PeerHandler
import dev.almondhaven.router.peer.PeerTransport
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Asks an attempt's holder for its status. */
@Serializable
internal data class AttemptQuestion(
    val attempt: Attempt,
)

/** The holder's answer to an [AttemptQuestion]. */
@Serializable
internal data class AttemptAnswer(
    val status: AttemptStatus,
)

/** Asks a shard's owner to settle an operation. */
@Serializable
internal data class RelayedOperation(
    val shard: ClaimShard,
    val operation: ClaimOperation,
)

/** The owner's answer to a [RelayedOperation]. */
@Serializable
internal data class RelayedVerdict(
    val verdict: ClaimVerdict,
)

/**
 * The routers' part in claims. A shard's owner only saves writes: whoever can't reach it writes by itself, and owner
 * and router may both write the same operation, since applying it twice has the effect of applying it once.
 */
internal class ClaimPeers(
    private val view: () -> FleetView,
    private val transport: PeerTransport?,
    private val writers: ClaimWriters,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
    private val relayTimeout: Duration,
) {
    /** The handlers of the peer protocol, by path. */
    val handlers: Map<String, PeerHandler> =
        mapOf(ASK_PATH to PeerHandler(::answerQuestion), RELAY_PATH to PeerHandler(::settleRelayed))

    /** Settles [operation] by way of the shard's owner, or directly. */
    fun settle(
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict> {
        val owner = RendezvousHash.choose(shard.value, view().members, 1) { it.id.value }.firstOrNull()
        if (owner == null || owner.id == view().self.id || transport == null) return writers.submit(shard, operation)
        val message = RelayedOperation(shard, operation)
        return post(owner, RELAY_PATH, message, RelayedOperation.serializer(), RelayedVerdict.serializer())
            .thenCompose { relayed ->
                relayed?.let { CompletableFuture.completedFuture(it.verdict) } ?: writers.submit(shard, operation)
            }
    }

    /** The status of [attempt] by its holder; null if the holder can't be reached. */
    fun ask(attempt: Attempt): CompletableFuture<AttemptStatus?> {
        if (attempt.holder == view().self.id) {
            return CompletableFuture.completedFuture(ledger.ask(attempt, clock.nanos()))
        }
        val holder = memberOrNull(attempt) ?: return CompletableFuture.completedFuture(null)
        val message = AttemptQuestion(attempt)
        return post(holder, ASK_PATH, message, AttemptQuestion.serializer(), AttemptAnswer.serializer())
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
    ): CompletableFuture<A?> {
        val sender = transport ?: return CompletableFuture.completedFuture(null)
        return sender
            .post(to, path, json.encodeToString(questions, message))
            .orTimeout(relayTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .handle { result, _ -> (result as? Either.Right)?.let { decodeOrNull(answers, it.value) } }
    }

    private fun <A : Any> decodeOrNull(
        answers: KSerializer<A>,
        text: String,
    ): A? = runCatching { json.decodeFromString(answers, text) }.getOrNull()

    private fun answerQuestion(body: String): String {
        val question = json.decodeFromString(AttemptQuestion.serializer(), body)
        return json.encodeToString(
            AttemptAnswer.serializer(),
            AttemptAnswer(ledger.ask(question.attempt, clock.nanos())),
        )
    }

    private fun settleRelayed(body: String): String {
        val message = json.decodeFromString(RelayedOperation.serializer(), body)
        val verdict =
            writers.submit(message.shard, message.operation).get(
                relayTimeout.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        return json.encodeToString(RelayedVerdict.serializer(), RelayedVerdict(verdict))
    }

    private companion object {
        const val ASK_PATH = "claims/ask"
        const val RELAY_PATH = "claims/relay"
        val json = Json { ignoreUnknownKeys = true }
    }
}
