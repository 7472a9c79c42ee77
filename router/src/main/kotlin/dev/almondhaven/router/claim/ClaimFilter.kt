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

/** Claims non-idempotent calls before they go on, so that each key is dispatched at most once over the whole fleet. */
internal class ClaimFilter(
    private val peers: ClaimPeerProtocol,
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
        return place(exchange, call).fold(
            { Answer.Refused(it).completed() },
            { (shard, request) ->
                ClaimedCallExecution(shard, request, dispatchBy(exchange), exchange, next, peers, ledger, clock).start()
            },
        )
    }

    private fun dispatchBy(exchange: Exchange): Long =
        minOf(exchange.deadline, exchange.arrivedAt + dispatchBound.inWholeNanoseconds)

    private fun place(
        exchange: Exchange,
        call: Call.Service,
    ): Either<Refusal, PlacedRequest> {
        val text = exchange.headers.get(IDEMPOTENCY_KEY).orEmpty()
        if (text.length !in KEY_LENGTH) {
            return Refusal.notRun(ResultCode.CLAIM_KEY_MISSING, "got ${text.length} characters").left()
        }
        val key = ClaimKey(exchange.organisation.id, call.service, text)
        return when (val placement = ClaimPlacement.of(key, wallMillis())) {
            is ClaimPlacement.InShard -> {
                PlacedRequest(placement.shard, request(exchange, call, key)).right()
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

    private fun request(
        exchange: Exchange,
        call: Call.Service,
        key: ClaimKey,
    ): ClaimRequest {
        val line = "${exchange.method} ${call.path}\n".toByteArray()
        val body = Digest.of(line + exchange.body.array())
        return ClaimRequest(key.digest, body, wallMillis(), exchange.journal.firstUseConfirmed)
    }

    private data class PlacedRequest(
        val shard: ClaimShard,
        val request: ClaimRequest,
    )

    private companion object {
        const val IDEMPOTENCY_KEY = "idempotency-key"
        val KEY_LENGTH = 1..255
    }
}
