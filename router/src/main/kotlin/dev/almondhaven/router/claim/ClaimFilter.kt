package dev.almondhaven.router.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.ClaimKey
import dev.almondhaven.decision.claim.ClaimPlacement
import dev.almondhaven.decision.claim.ClaimRequest
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.Digest
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.Call
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.filter.RequestHandler
import dev.almondhaven.router.filter.completed
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/**
 * Claims the idempotency key of each non-idempotent call before the call proceeds, so that the whole fleet dispatches
 * each key at most once.
 */
internal class ClaimFilter(
    private val peerProtocol: ClaimPeerProtocol,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
    private val wallMillis: () -> Long,
    private val dispatchBound: Duration,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val call = exchange.call as? Call.Service
        if (call == null || call.idempotent) return next.handle(exchange)
        return createPlacedRequest(exchange, call).fold(
            { Answer.Refused(it).completed() },
            { (shard, request) ->
                ClaimedCallExecution(
                    shard,
                    request,
                    dispatchDeadline(exchange),
                    exchange,
                    next,
                    peerProtocol,
                    ledger,
                    clock,
                ).start()
            },
        )
    }

    private fun dispatchDeadline(exchange: Exchange): Long =
        minOf(exchange.deadline, exchange.arrivedAt + dispatchBound.inWholeNanoseconds)

    private fun createPlacedRequest(
        exchange: Exchange,
        call: Call.Service,
    ): Either<Refusal, PlacedRequest> {
        val keyText = exchange.headers.get(IDEMPOTENCY_KEY).orEmpty()
        if (keyText.length !in KEY_LENGTH_CHARS) {
            return Refusal.notRun(ResultCode.CLAIM_KEY_MISSING, "got ${keyText.length} characters").left()
        }
        val key = ClaimKey(exchange.organisation.id, call.service, keyText)
        return when (val placement = ClaimPlacement.of(key, wallMillis())) {
            is ClaimPlacement.InShard -> {
                PlacedRequest(placement.shard, createRequest(exchange, call, key)).right()
            }

            ClaimPlacement.Expired -> {
                Refusal(ResultCode.CLAIM_KEY_EXPIRED, "keys are kept ${ClaimPlacement.RETENTION}", Outcome.UNKNOWN)
                    .left()
            }

            is ClaimPlacement.InFuture -> {
                if (placement.neverAccepted) exchange.journal.recordFirstUse()
                val outcome = if (placement.neverAccepted) Outcome.NOT_RUN else Outcome.UNKNOWN
                Refusal(ResultCode.CLAIM_KEY_AHEAD, "the key's time is in the future", outcome).left()
            }
        }
    }

    private fun createRequest(
        exchange: Exchange,
        call: Call.Service,
        key: ClaimKey,
    ): ClaimRequest {
        val requestLine = "${exchange.method} ${call.path}\n".toByteArray()
        val requestDigest = Digest.of(requestLine + exchange.body.array())
        return ClaimRequest(key.digest, requestDigest, wallMillis(), exchange.journal.firstUseConfirmed)
    }

    private data class PlacedRequest(
        val shard: ClaimShard,
        val request: ClaimRequest,
    )

    private companion object {
        const val IDEMPOTENCY_KEY = "idempotency-key"
        val KEY_LENGTH_CHARS = 1..255
    }
}
