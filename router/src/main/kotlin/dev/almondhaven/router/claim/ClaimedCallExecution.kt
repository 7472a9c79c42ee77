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

/** Carries out what a [ClaimStateMachine] decides, on the exchange's event loop. */
internal class ClaimedCallExecution(
    private val shard: ClaimShard,
    request: ClaimRequest,
    dispatchBy: Long,
    private val exchange: Exchange,
    private val next: RequestHandler,
    private val peers: ClaimPeerProtocol,
    private val ledger: AttemptLedger,
    private val clock: NanoClock,
) : DispatchGate {
    private val attempt = ledger.issue(dispatchBy)
    private val process = ClaimStateMachine(request, attempt, ledger)
    private val answer = CompletableFuture<Answer>()
    private var dispatching = false

    // A dispatched call counts as running until its own end, also when its caller has left.
    private val releaseJournal = exchange.journal.deferEnd()

    /** The answer, at the exchange's deadline at the latest. */
    fun start(): CompletableFuture<Answer> {
        val remaining = (exchange.deadline - clock.nanos()).coerceAtLeast(0)
        val timer = exchange.eventLoop.schedule({ run(process.onDeadline()) }, remaining, TimeUnit.NANOSECONDS)
        answer.whenComplete { _, _ ->
            timer.cancel(false)
            if (!dispatching) releaseJournal()
        }
        run(process.start())
        return answer
    }

    override fun tryAcquire(): Boolean = ledger.tryDispatch(attempt, clock.nanos())

    override fun releaseUnsent(): Unit = ledger.undoDispatch(attempt)

    private fun run(actions: List<ClaimAction>): Unit = actions.forEach(::run)

    private fun run(action: ClaimAction) {
        when (action) {
            is ClaimAction.Submit -> submit(action)
            is ClaimAction.Record -> peers.settle(shard, action.operation)
            ClaimAction.Dispatch -> dispatch()
            is ClaimAction.QueryStatus -> if (action.afterDelay) later { ask(action) } else ask(action)
            ClaimAction.Delay -> later { run(process.onDelayElapsed()) }
            ClaimAction.Deliver, is ClaimAction.Fail -> error("only at the end of a dispatch: $action")
            is ClaimAction.Replay -> replay(action.response)
            is ClaimAction.Refuse -> refuse(action)
        }
    }

    private fun submit(action: ClaimAction.Submit) {
        peers.settle(shard, action.operation).whenCompleteAsync(
            { verdict, failure -> run(if (failure == null) process.onVerdict(verdict) else process.onRejected()) },
            exchange.eventLoop,
        )
    }

    private fun ask(action: ClaimAction.QueryStatus) {
        peers.ask(action.attempt).whenCompleteAsync(
            { status, _ -> run(process.onStatus(action.attempt, status, peers.holderLives(action.attempt))) },
            exchange.eventLoop,
        )
    }

    private fun dispatch() {
        exchange.journal.recordFirstUse()
        dispatching = true
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
        val end = if (refusal == null) DispatchResult.Answered(kept(result)) else DispatchResult.Failed
        process.onDispatchResult(end).forEach { action ->
            when {
                action == ClaimAction.Deliver -> answer.complete(result)
                action is ClaimAction.Fail && refusal != null -> fail(refusal, action.outcome)
                else -> run(action)
            }
        }
        releaseJournal()
    }

    private fun fail(
        refusal: Refusal,
        outcome: Outcome,
    ) {
        logUnknown(refusal.code, outcome)
        answer.complete(Answer.Refused(refusal.copy(outcome = outcome)))
    }

    private fun kept(result: Answer): RecordedResponse? {
        val whole = (result as? Answer.Complete)?.takeIf { it.body.length() <= KEPT_ANSWER_BYTES } ?: return null
        val body = Base64.getEncoder().encodeToString(whole.body.array())
        return RecordedResponse(whole.status.code(), whole.contentType.toString(), body)
    }

    private fun replay(kept: RecordedResponse) {
        exchange.journal.addAnswerHeader("x-almondhaven-replayed", "true")
        val body = HttpData.wrap(Base64.getDecoder().decode(kept.body))
        answer.complete(Answer.Complete(HttpStatus.valueOf(kept.status), MediaType.parse(kept.contentType), body))
    }

    private fun refuse(action: ClaimAction.Refuse) {
        logUnknown(action.code, action.outcome)
        if (action.outcome == Outcome.NOT_RUN) exchange.journal.recordFirstUse()
        answer.complete(Answer.Refused(Refusal(action.code, action.detail, action.outcome, RETRY_AFTER)))
    }

    private fun logUnknown(
        code: ResultCode,
        outcome: Outcome,
    ) {
        if (outcome != Outcome.UNKNOWN) return
        LogEvent.CLAIM_OUTCOME_UNKNOWN.log(logger) { "request=${exchange.requestId} code=$code attempt=$attempt" }
    }

    private fun later(action: () -> Unit) {
        exchange.eventLoop.schedule(
            { if (!answer.isDone) action() },
            POLL_INTERVAL.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
    }

    private companion object {
        const val KEPT_ANSWER_BYTES = 768
        val POLL_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}
