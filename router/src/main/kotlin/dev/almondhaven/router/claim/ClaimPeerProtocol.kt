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

/** Asks the holder of an attempt for the status of that attempt. */
@Serializable
internal data class AttemptStatusRequest(
    val attempt: Attempt,
)

/** The holder's response to an [AttemptStatusRequest]. */
@Serializable
internal data class AttemptStatusResponse(
    val status: AttemptStatus,
)

/**
 * Asks the owner of a shard to write an operation.
 *
 * @property number identifies the operation in the [RelayedVerdict] that the owner sends to [from].
 */
@Serializable
internal data class RelayedOperation(
    val number: Long,
    val from: Member,
    val shard: ClaimShard,
    val operation: ClaimOperation,
)

/** Acknowledges a message; the verdict follows in a message of its own. */
@Serializable
internal data class RelayAcknowledgement(
    val accepted: Boolean = true,
)

/** The verdict on the [RelayedOperation] with the same [number]. */
@Serializable
internal data class RelayedVerdict(
    val number: Long,
    val verdict: ClaimVerdict,
)

/**
 * Exchanges claim operations and attempt statuses with other routers. Each shard has an owner, which batches the
 * operations of all routers into fewer writes. The owner is not needed for correctness: a router that can't reach it
 * writes the shard itself, and both may write the same operation, since applying an operation is idempotent.
 */
internal class ClaimPeerProtocol(
    private val view: () -> FleetView,
    private val transport: PeerTransport,
    private val writerPool: ClaimWriterPool,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
    private val relayTimeout: Duration,
) {
    private val pendingVerdicts = ConcurrentHashMap<Long, CompletableFuture<ClaimVerdict>>()
    private val relayNumbers = AtomicLong()

    /** Registers the handlers for messages from other routers. */
    fun register(handlers: PeerHandlers) {
        handlers.register(STATUS_PATH, ::handleStatusRequest)
        handlers.register(RELAY_PATH, ::handleRelayedOperation)
        handlers.register(VERDICT_PATH, ::handleVerdict)
    }

    /** Writes [operation] through the owner of [shard], or directly if the owner doesn't return a verdict in time. */
    fun settle(
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict> {
        val owner = RendezvousHash.choose(shard.value, view().members, 1) { it.id.value }.firstOrNull()
        if (owner == null || owner.id == view().self.id) return writerPool.submit(shard, operation)
        return relay(owner, shard, operation).thenCompose { verdict ->
            verdict?.let { CompletableFuture.completedFuture(it) } ?: writerPool.submit(shard, operation)
        }
    }

    /** Returns the verdict that [owner] sends back, or null if none arrives within the relay timeout. */
    private fun relay(
        owner: Member,
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict?> {
        val number = relayNumbers.incrementAndGet()
        val verdict = CompletableFuture<ClaimVerdict>()
        pendingVerdicts[number] = verdict
        val message = RelayedOperation(number, view().self, shard, operation)
        post(owner, RELAY_PATH, message, RelayedOperation.serializer(), RelayAcknowledgement.serializer())
            .thenAccept { acknowledgement -> if (acknowledgement == null) verdict.cancel(false) }
        return verdict
            .orTimeout(relayTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .handle { result, _ -> result.also { pendingVerdicts.remove(number) } }
    }

    /** Requests the status of [attempt] from its holder; null if the holder can't be reached. */
    fun queryStatus(attempt: Attempt): CompletableFuture<AttemptStatus?> {
        if (attempt.holder == view().self.id) {
            return CompletableFuture.completedFuture(ledger.statusAt(attempt, clock.nanos()))
        }
        val holder = holderOrNull(attempt) ?: return CompletableFuture.completedFuture(null)
        val message = AttemptStatusRequest(attempt)
        return post(holder, STATUS_PATH, message, AttemptStatusRequest.serializer(), AttemptStatusResponse.serializer())
            .thenApply { it?.status }
    }

    /** Whether the holder of [attempt] is a live member of the fleet. */
    fun isHolderAlive(attempt: Attempt): Boolean = holderOrNull(attempt) != null

    private fun holderOrNull(attempt: Attempt): Member? = view().members.firstOrNull { it.id == attempt.holder }

    private fun <Q, R : Any> post(
        to: Member,
        path: String,
        message: Q,
        requestSerializer: KSerializer<Q>,
        responseSerializer: KSerializer<R>,
    ): CompletableFuture<R?> =
        transport
            .post(to, path, json.encodeToString(requestSerializer, message))
            .orTimeout(relayTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .handle { result, _ -> (result as? Either.Right)?.let { decodeOrNull(responseSerializer, it.value) } }

    private fun <R : Any> decodeOrNull(
        serializer: KSerializer<R>,
        text: String,
    ): R? = runCatching { json.decodeFromString(serializer, text) }.getOrNull()

    private fun handleStatusRequest(body: String): String {
        val request = json.decodeFromString(AttemptStatusRequest.serializer(), body)
        return json.encodeToString(
            AttemptStatusResponse.serializer(),
            AttemptStatusResponse(ledger.statusAt(request.attempt, clock.nanos())),
        )
    }

    private fun handleRelayedOperation(body: String): String {
        val message = json.decodeFromString(RelayedOperation.serializer(), body)
        writerPool.submit(message.shard, message.operation).thenAccept { verdict ->
            val reply = RelayedVerdict(message.number, verdict)
            post(message.from, VERDICT_PATH, reply, RelayedVerdict.serializer(), RelayAcknowledgement.serializer())
        }
        return ACKNOWLEDGEMENT
    }

    private fun handleVerdict(body: String): String {
        val message = json.decodeFromString(RelayedVerdict.serializer(), body)
        pendingVerdicts.remove(message.number)?.complete(message.verdict)
        return ACKNOWLEDGEMENT
    }

    private companion object {
        const val STATUS_PATH = "claims/ask"
        const val RELAY_PATH = "claims/relay"
        const val VERDICT_PATH = "claims/verdict"
        val json = PeerProtocol.json
        val ACKNOWLEDGEMENT = json.encodeToString(RelayAcknowledgement.serializer(), RelayAcknowledgement())
    }
}
