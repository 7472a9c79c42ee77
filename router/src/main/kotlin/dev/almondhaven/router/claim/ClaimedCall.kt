package dev.almondhaven.router.claim

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import dev.almondhaven.decision.claim.Attempt
import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.AttemptStatus
import dev.almondhaven.decision.claim.ClaimOperation
import dev.almondhaven.decision.claim.ClaimRecord
import dev.almondhaven.decision.claim.ClaimState
import dev.almondhaven.decision.claim.ClaimVerdict
import dev.almondhaven.decision.claim.RecordedAnswer
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.DispatchGate
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestHandler
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * One non-idempotent call on its way: claims its key, dispatches it if the claim is granted, and otherwise finds out
 * what came of the attempt that holds the key. Runs on the exchange's event loop.
 */
internal class ClaimedCall(
    private val claim: ClaimRequest,
    private val exchange: Exchange,
    private val next: RequestHandler,
    private val peers: ClaimPeers,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
) : DispatchGate {
    private val attempt = ledger.open(claim.dispatchBy)
    private val answer = CompletableFuture<Answer>()
    private val voided = HashSet<Attempt>()
    private var heldByOther = false
    private var claimMayExist = false
    private var lostQuestions = 0

    /** The answer, at the exchange's deadline at the latest. */
    fun start(): CompletableFuture<Answer> {
        val remaining = (exchange.deadline - clock.nanos()).coerceAtLeast(0)
        val timer = exchange.eventLoop.schedule(::deadlinePassed, remaining, TimeUnit.NANOSECONDS)
        answer.whenComplete { _, _ -> timer.cancel(false) }
        submitClaim()
        return answer
    }

    override fun tryPass(): Boolean = ledger.tryDispatch(attempt, clock.nanos())

    override fun notSent(): Unit = ledger.notSent(attempt)

    private fun submitClaim() {
        claimMayExist = true
        val operation = ClaimOperation.Claim(claim.key, attempt, claim.body, claim.at, voided.toSet())
        peers.settle(claim.shard, operation).whenCompleteAsync(
            { verdict, failure -> if (failure == null) settled(verdict) else dropped() },
            exchange.eventLoop,
        )
    }

    private fun settled(verdict: ClaimVerdict) {
        if (answer.isDone) return
        claimMayExist = verdict == ClaimVerdict.Granted
        when (verdict) {
            ClaimVerdict.Granted -> {
                dispatch()
            }

            is ClaimVerdict.Held -> {
                held(verdict.record)
            }

            ClaimVerdict.Expired -> {
                refuse(ResultCode.CLAIM_KEY_EXPIRED, Outcome.UNKNOWN, "the key was used before")
            }

            ClaimVerdict.Full -> {
                exchange.journal.recordFirstUse()
                refuse(ResultCode.CLAIM_STORE_FULL, Outcome.NOT_RUN, "use a version 7 UUID as key")
            }

            ClaimVerdict.Recorded -> {
                Unit
            }
        }
    }

    private fun dropped() {
        if (!answer.isDone) refuseUnclaimed(ResultCode.OVERLOADED, "too many claims wait")
    }

    private fun dispatch() {
        exchange.journal.recordFirstUse()
        next.handle(exchange.with(this)).whenCompleteAsync(
            { result, failure -> ended(result ?: internalError(failure)) },
            exchange.eventLoop,
        )
    }

    private fun internalError(failure: Throwable): Answer {
        LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(logger, failure) { "request=${exchange.requestId}" }
        return Answer.Refused(Refusal(ResultCode.INTERNAL_ERROR, "unexpected error", Outcome.UNKNOWN))
    }

    private fun ended(result: Answer) {
        val refusal = (result as? Answer.Refused)?.refusal
        if (refusal != null && ledger.void(attempt)) {
            record(ClaimOperation.Void(claim.key, attempt))
            answer.complete(Answer.Refused(refusal.copy(outcome = Outcome.NOT_RUN)))
            return
        }
        val outcome = if (refusal == null) Outcome.RAN else Outcome.UNKNOWN
        val kept = (result as? Answer.Whole)?.let { recorded(it) }
        ledger.finish(attempt, outcome, kept)
        record(ClaimOperation.Finish(claim.key, attempt, outcome, kept))
        answer.complete(refusal?.let { Answer.Refused(it.copy(outcome = Outcome.UNKNOWN)) } ?: result)
    }

    private fun record(operation: ClaimOperation) {
        peers.settle(claim.shard, operation)
    }

    private fun recorded(whole: Answer.Whole): RecordedAnswer? {
        if (whole.body.length() > KEPT_ANSWER_BYTES) return null
        val body = Base64.getEncoder().encodeToString(whole.body.array())
        return RecordedAnswer(whole.status.code(), whole.contentType.toString(), body)
    }

    private fun held(record: ClaimRecord) {
        if (record.body != claim.body && record.state != ClaimState.VOID) {
            exchange.journal.recordFirstUse()
            return refuse(ResultCode.CLAIM_KEY_REUSED, Outcome.NOT_RUN, "the first request under the key differs")
        }
        heldByOther = true
        when (record.state) {
            ClaimState.VOID -> submitClaim()
            ClaimState.FINISHED -> replay(checkNotNull(record.outcome) { "no outcome: $record" }, record.answer)
            ClaimState.CLAIMED -> askHolder(record)
        }
    }

    private fun askHolder(record: ClaimRecord) {
        peers.ask(record.attempt).whenCompleteAsync(
            { status, _ -> if (!answer.isDone) asked(record, status) },
            exchange.eventLoop,
        )
    }

    private fun asked(
        record: ClaimRecord,
        status: AttemptStatus?,
    ) {
        when (status) {
            AttemptStatus.Void -> {
                voided += record.attempt
                submitClaim()
            }

            is AttemptStatus.Finished -> {
                replay(status.outcome, status.answer)
            }

            AttemptStatus.Pending, AttemptStatus.Dispatched -> {
                later { askHolder(record) }
            }

            AttemptStatus.Unknown, null -> {
                holderSilent(record)
            }
        }
    }

    /** The holder may have left the end of the attempt with the platform, so the claim is read again a few times. */
    private fun holderSilent(record: ClaimRecord) {
        lostQuestions++
        if (lostQuestions > QUESTIONS && !peers.holderLives(record.attempt)) {
            refuse(ResultCode.CLAIM_HOLDER_GONE, Outcome.UNKNOWN, "holder ${record.attempt.holder}")
        } else {
            later { submitClaim() }
        }
    }

    private fun later(action: () -> Unit) {
        exchange.eventLoop.schedule(
            { if (!answer.isDone) action() },
            POLL_INTERVAL.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
    }

    private fun replay(
        outcome: Outcome,
        kept: RecordedAnswer?,
    ) {
        if (kept == null || outcome != Outcome.RAN) {
            return refuse(ResultCode.CLAIM_ANSWER_NOT_KEPT, outcome, "the first attempt has ended")
        }
        ledger.void(attempt)
        exchange.journal.addAnswerHeader("x-almondhaven-replayed", "true")
        val body = HttpData.wrap(Base64.getDecoder().decode(kept.body))
        answer.complete(Answer.Whole(HttpStatus.valueOf(kept.status), MediaType.parse(kept.contentType), body))
    }

    private fun deadlinePassed() {
        if (answer.isDone) return
        val waited = clock.elapsed(exchange.arrivedAt)
        if (!ledger.void(attempt)) {
            refuse(ResultCode.DEADLINE_EXCEEDED, Outcome.UNKNOWN, "the call still runs after $waited")
        } else if (heldByOther) {
            refuse(ResultCode.CLAIM_IN_PROGRESS, Outcome.UNKNOWN, "waited $waited")
        } else {
            refuseUnclaimed(ResultCode.CLAIM_UNSETTLED, "waited $waited for the platform")
        }
    }

    /** Refuses a call whose claim was never read: an earlier request under the same key may have run. */
    private fun refuseUnclaimed(
        code: ResultCode,
        detail: String,
    ) {
        val outcome = if (exchange.journal.firstUseProven) Outcome.NOT_RUN else Outcome.UNKNOWN
        refuse(code, outcome, detail, RETRY_AFTER)
    }

    /** Refuses the call. An attempt that isn't dispatched is made void first, which keeps `not_run` true. */
    private fun refuse(
        code: ResultCode,
        outcome: Outcome,
        detail: String,
        retryAfter: Duration? = null,
    ) {
        if (ledger.void(attempt) && claimMayExist) record(ClaimOperation.Void(claim.key, attempt))
        if (outcome == Outcome.UNKNOWN) {
            LogEvent.CLAIM_OUTCOME_UNKNOWN.log(logger) { "request=${exchange.requestId} code=$code key=${claim.key}" }
        }
        answer.complete(Answer.Refused(Refusal(code, detail, outcome, retryAfter)))
    }

    private companion object {
        const val KEPT_ANSWER_BYTES = 768
        const val QUESTIONS = 3
        val POLL_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}
