package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode

/**
 * What identifies a call that is to be claimed.
 *
 * @property requestDigest digest of the request's method, path and body.
 * @property arrivedAt epoch milliseconds of its arrival.
 * @property isFirst whether it is certain that there was no earlier request under the key.
 */
public data class ClaimRequest(
    public val key: Digest,
    public val requestDigest: Digest,
    public val arrivedAt: Long,
    public val isFirst: Boolean = false,
)

/**
 * The way of one non-idempotent call: it claims its key, is dispatched if the claim is granted, and otherwise finds out
 * what came of the attempt that holds the key. Not safe for use from several threads.
 */
public class ClaimStateMachine(
    private val request: ClaimRequest,
    private val attempt: Attempt,
    private val ledger: AttemptLedger,
) {
    private val voided = HashSet<Attempt>()
    private var heldByOther = false
    private var claimMayExist = false
    private var unansweredQuestions = 0

    /** Whether the caller has its answer. */
    public var answered: Boolean = false
        private set

    /** The first actions. */
    public fun start(): List<ClaimAction> = submit()

    /** Reports the verdict on the claim. */
    public fun onVerdict(verdict: ClaimVerdict): List<ClaimAction> {
        if (answered) return emptyList()
        claimMayExist = verdict == ClaimVerdict.Granted
        return when (verdict) {
            ClaimVerdict.Granted -> listOf(ClaimAction.Dispatch)
            is ClaimVerdict.Held -> onHeld(verdict.record)
            ClaimVerdict.Expired -> refuse(ResultCode.CLAIM_KEY_EXPIRED, Outcome.UNKNOWN, "the key was used before")
            ClaimVerdict.Full -> refuse(ResultCode.CLAIM_STORE_FULL, unread(), "a version 7 UUID as key has room")
            ClaimVerdict.Recorded -> emptyList()
        }
    }

    /** Reports that the claim was not taken for want of room. */
    public fun onRejected(): List<ClaimAction> =
        if (answered) emptyList() else refuse(ResultCode.OVERLOADED, unread(), "too many claims wait")

    /** Reports what the holder of [asked] said; null if it could not be reached, and then whether it [lives]. */
    public fun onStatus(
        asked: Attempt,
        status: AttemptStatus?,
        lives: Boolean,
    ): List<ClaimAction> {
        if (answered) return emptyList()
        return when (status) {
            AttemptStatus.Void -> {
                voided += asked
                submit()
            }

            is AttemptStatus.Finished -> {
                onFinished(status.outcome, status.response)
            }

            AttemptStatus.Pending, AttemptStatus.Dispatched -> {
                listOf(ClaimAction.QueryStatus(asked, afterDelay = true))
            }

            AttemptStatus.Unknown, null -> {
                onSilence(asked, lives)
            }
        }
    }

    /** Reports the end of a pause. */
    public fun onDelayElapsed(): List<ClaimAction> = if (answered) emptyList() else submit()

    /** Reports how the dispatch ended. */
    public fun onDispatchResult(end: DispatchResult): List<ClaimAction> {
        if (end == DispatchResult.Failed && ledger.void(attempt)) {
            return listOf(ClaimAction.Record(ClaimOperation.Void(request.key, attempt))) +
                answer(ClaimAction.Fail(Outcome.NOT_RUN))
        }
        val outcome = if (end is DispatchResult.Answered) Outcome.RAN else Outcome.UNKNOWN
        val kept = (end as? DispatchResult.Answered)?.response
        ledger.finish(attempt, outcome, kept)
        val last = if (end is DispatchResult.Answered) ClaimAction.Deliver else ClaimAction.Fail(Outcome.UNKNOWN)
        return listOf(ClaimAction.Record(ClaimOperation.Finish(request.key, attempt, outcome, kept))) + answer(last)
    }

    /** Reports that the caller's deadline has passed. A call that is dispatched runs on to its recorded end. */
    public fun onDeadline(): List<ClaimAction> {
        if (answered) return emptyList()
        return when {
            !ledger.void(attempt) -> refuse(ResultCode.DEADLINE_EXCEEDED, Outcome.UNKNOWN, "the call still runs")
            heldByOther -> refuse(ResultCode.CLAIM_IN_PROGRESS, Outcome.UNKNOWN, "an earlier attempt goes on")
            else -> refuse(ResultCode.CLAIM_UNSETTLED, unread(), "the platform did not confirm the claim")
        }
    }

    private fun submit(): List<ClaimAction> {
        claimMayExist = true
        val claim = ClaimOperation.Claim(request.key, attempt, request.requestDigest, request.arrivedAt, voided.toSet())
        return listOf(ClaimAction.Submit(claim))
    }

    private fun onHeld(record: ClaimRecord): List<ClaimAction> {
        val void = record.state == ClaimState.VOID || record.attempt in voided
        return when {
            void -> onVoid(record)
            record.requestDigest != request.requestDigest -> onOtherBody(record)
            record.state == ClaimState.FINISHED -> onFinished(record.outcome ?: Outcome.UNKNOWN, record.response)
            else -> onClaimed(record)
        }
    }

    /**
     * A void claim keeps back the requests that may have come before it. Those before this one are surely among them if
     * this one came within the tolerance of clocks; a later one may follow a request that isn't kept back.
     */
    private fun onVoid(record: ClaimRecord): List<ClaimAction> {
        val certain = request.arrivedAt <= record.claimedAt + ClaimDocument.ARRIVAL_TOLERANCE_MILLIS
        val outcome = if (certain) Outcome.NOT_RUN else unread()
        return refuse(ResultCode.CLAIM_VOIDED, outcome, "a call under the key was refused at that time")
    }

    /** As long as the other request may still turn out void, an earlier one with this body may run in its place. */
    private fun onOtherBody(record: ClaimRecord): List<ClaimAction> {
        val outcome = if (record.state == ClaimState.FINISHED) Outcome.NOT_RUN else unread()
        return refuse(ResultCode.CLAIM_KEY_REUSED, outcome, "the first request under the key differs")
    }

    private fun onClaimed(record: ClaimRecord): List<ClaimAction> {
        heldByOther = true
        return listOf(ClaimAction.QueryStatus(record.attempt, afterDelay = false))
    }

    private fun onFinished(
        outcome: Outcome,
        kept: RecordedResponse?,
    ): List<ClaimAction> {
        if (kept == null || outcome != Outcome.RAN) {
            return refuse(ResultCode.CLAIM_ANSWER_NOT_KEPT, outcome, "the first attempt has ended")
        }
        ledger.void(attempt)
        return answer(ClaimAction.Replay(kept))
    }

    /** A holder that is gone may have left the end of its attempt with the platform, so the claim is read again. */
    private fun onSilence(
        asked: Attempt,
        lives: Boolean,
    ): List<ClaimAction> {
        unansweredQuestions++
        if (unansweredQuestions <= QUESTIONS || lives) return listOf(ClaimAction.Delay)
        return refuse(ResultCode.CLAIM_HOLDER_GONE, Outcome.UNKNOWN, "holder ${asked.holder}")
    }

    /** What can be said of earlier requests under the key before its claim was read. */
    private fun unread(): Outcome = if (request.isFirst) Outcome.NOT_RUN else Outcome.UNKNOWN

    /** Refuses the call. An attempt that isn't dispatched is made void first, which keeps `not_run` true. */
    private fun refuse(
        code: ResultCode,
        outcome: Outcome,
        detail: String,
    ): List<ClaimAction> {
        val void = ledger.void(attempt) && claimMayExist
        val record = listOf(ClaimAction.Record(ClaimOperation.Void(request.key, attempt))).filter { void }
        return record + answer(ClaimAction.Refuse(code, outcome, detail))
    }

    private fun answer(action: ClaimAction): List<ClaimAction> {
        if (answered) return emptyList()
        answered = true
        return listOf(action)
    }

    private companion object {
        const val QUESTIONS = 3
    }
}
