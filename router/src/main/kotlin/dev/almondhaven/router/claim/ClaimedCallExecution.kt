package dev.almondhaven.router.claim

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.ClaimAction
import dev.almondhaven.decision.claim.ClaimRequest
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.ClaimStateMachine
import dev.almondhaven.decision.claim.DispatchResult
import dev.almondhaven.decision.claim.RecordedResponse
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Executes the actions that a [ClaimStateMachine] decides on for one call, on the event loop of the exchange. */
internal class ClaimedCallExecution(
    private val shard: ClaimShard,
    request: ClaimRequest,
    dispatchDeadline: Long,
    private val exchange: Exchange,
    private val next: RequestHandler,
    private val peerProtocol: ClaimPeerProtocol,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
) : DispatchGate {
    private val attempt = ledger.issue(dispatchDeadline)
    private val stateMachine = ClaimStateMachine(request, attempt, ledger)
    private val answer = CompletableFuture<Answer>()
    private var dispatchStarted = false

    // A dispatched call counts as running until it ends, even if its caller has disconnected.
    private val releaseJournalHold = exchange.journal.deferEnd()

    /** Starts the call; the answer is completed by the deadline of the exchange at the latest. */
    fun start(): CompletableFuture<Answer> {
        val remaining = (exchange.deadline - clock.nanos()).coerceAtLeast(0)
        val timer = exchange.eventLoop.schedule({ run(stateMachine.onDeadline()) }, remaining, TimeUnit.NANOSECONDS)
        answer.whenComplete { _, _ ->
            timer.cancel(false)
            if (!dispatchStarted) releaseJournalHold()
        }
        run(stateMachine.start())
        return answer
    }

    override fun tryAcquire(): Boolean = ledger.tryDispatch(attempt, clock.nanos())

    override fun releaseUnsent(): Unit = ledger.undoDispatch(attempt)

    private fun run(actions: List<ClaimAction>): Unit = actions.forEach(::run)

    private fun run(action: ClaimAction) {
        when (action) {
            is ClaimAction.Submit -> submit(action)
            is ClaimAction.Record -> peerProtocol.settle(shard, action.operation)
            ClaimAction.Dispatch -> dispatch()
            is ClaimAction.QueryStatus -> if (action.afterDelay) defer { queryStatus(action) } else queryStatus(action)
            ClaimAction.Delay -> defer { run(stateMachine.onDelayElapsed()) }
            ClaimAction.Deliver, is ClaimAction.Fail -> error("action is only valid at the end of a dispatch: $action")
            is ClaimAction.Replay -> replay(action.response)
            is ClaimAction.Refuse -> refuse(action)
        }
    }

    private fun submit(action: ClaimAction.Submit) {
        peerProtocol.settle(shard, action.operation).whenCompleteAsync(
            { verdict, failure ->
                run(if (failure == null) stateMachine.onVerdict(verdict) else stateMachine.onRejected())
            },
            exchange.eventLoop,
        )
    }

    private fun queryStatus(action: ClaimAction.QueryStatus) {
        peerProtocol.queryStatus(action.attempt).whenCompleteAsync(
            { status, _ ->
                run(stateMachine.onStatus(action.attempt, status, peerProtocol.isHolderAlive(action.attempt)))
            },
            exchange.eventLoop,
        )
    }

    private fun dispatch() {
        exchange.journal.recordFirstUse()
        dispatchStarted = true
        next.handle(exchange.with(this)).whenCompleteAsync(
            { result, failure -> onDispatchEnded(result ?: internalError(failure)) },
            exchange.eventLoop,
        )
    }

    private fun internalError(failure: Throwable): Answer {
        LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(logger, failure) { "request=${exchange.requestId}" }
        return Answer.Refused(Refusal(ResultCode.INTERNAL_ERROR, "unexpected error", Outcome.UNKNOWN))
    }

    private fun onDispatchEnded(result: Answer) {
        val refusal = (result as? Answer.Refused)?.refusal
        val dispatchResult =
            if (refusal == null) DispatchResult.Answered(toRecordedResponse(result)) else DispatchResult.Failed
        stateMachine.onDispatchResult(dispatchResult).forEach { action ->
            when {
                action == ClaimAction.Deliver -> answer.complete(result)
                action is ClaimAction.Fail && refusal != null -> fail(refusal, action.outcome)
                else -> run(action)
            }
        }
        releaseJournalHold()
    }

    private fun fail(
        refusal: Refusal,
        outcome: Outcome,
    ) {
        logIfUnknown(refusal.code, outcome)
        answer.complete(Answer.Refused(refusal.copy(outcome = outcome)))
    }

    private fun toRecordedResponse(result: Answer): RecordedResponse? {
        val complete =
            (result as? Answer.Complete)?.takeIf { it.body.length() <= MAX_RECORDED_RESPONSE_BYTES } ?: return null
        val body = Base64.getEncoder().encodeToString(complete.body.array())
        return RecordedResponse(complete.status.code(), complete.contentType.toString(), body)
    }

    private fun replay(recorded: RecordedResponse) {
        exchange.journal.addAnswerHeader("x-almondhaven-replayed", "true")
        val body = HttpData.wrap(Base64.getDecoder().decode(recorded.body))
        val status = HttpStatus.valueOf(recorded.status)
        answer.complete(Answer.Complete(status, MediaType.parse(recorded.contentType), body))
    }

    private fun refuse(action: ClaimAction.Refuse) {
        logIfUnknown(action.code, action.outcome)
        if (action.outcome == Outcome.NOT_RUN) exchange.journal.recordFirstUse()
        answer.complete(Answer.Refused(Refusal(action.code, action.detail, action.outcome, RETRY_AFTER)))
    }

    private fun logIfUnknown(
        code: ResultCode,
        outcome: Outcome,
    ) {
        if (outcome != Outcome.UNKNOWN) return
        LogEvent.CLAIM_OUTCOME_UNKNOWN.log(logger) { "request=${exchange.requestId} code=$code attempt=$attempt" }
    }

    private fun defer(action: () -> Unit) {
        exchange.eventLoop.schedule(
            { if (!answer.isDone) action() },
            STATUS_POLL_INTERVAL.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
    }

    private companion object {
        const val MAX_RECORDED_RESPONSE_BYTES = 768
        val STATUS_POLL_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}
