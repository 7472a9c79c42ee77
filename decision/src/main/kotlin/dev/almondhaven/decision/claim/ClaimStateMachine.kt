package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode

/**
 * A call that needs a claim before it may be dispatched.
 *
 * @property requestDigest digest of the request's method, path and body.
 * @property arrivedAt epoch milliseconds of its arrival.
 * @property isFirst whether it is certain that no earlier request used the key.
 */
public data class ClaimRequest(
    public val key: Digest,
    public val requestDigest: Digest,
    public val arrivedAt: Long,
    public val isFirst: Boolean = false,
)

/**
 * State machine of one non-idempotent call. It claims the call's idempotency key and dispatches the call if the claim
 * is granted; otherwise it finds out the result of the attempt that holds the key. It does no I/O: each event returns
 * the actions to carry out. Not safe for use from several threads.
 */
public class ClaimStateMachine(
    private val request: ClaimRequest,
    private val attempt: Attempt,
    private val ledger: AttemptLedger,
) {
    private val voided = HashSet<Attempt>()
    private var heldByOther = false
    private var claimMayExist = false
    private var failedQueries = 0

    /** Whether the caller has got its response or refusal. */
    public var answered: Boolean = false
        private set

    /** Returns the first actions. */
    public fun start(): List<ClaimAction> = submit()

    /** Reports the verdict on the claim. */
    public fun onVerdict(verdict: ClaimVerdict): List<ClaimAction> {
        if (answered) return emptyList()
        claimMayExist = verdict == ClaimVerdict.Granted
        return when (verdict) {
            ClaimVerdict.Granted -> {
                listOf(ClaimAction.Dispatch)
            }

            is ClaimVerdict.Held -> {
                onHeld(verdict.record)
            }

            ClaimVerdict.Expired -> {
                refuse(
                    ResultCode.CLAIM_KEY_EXPIRED,
                    Outcome.UNKNOWN,
                    "the key was claimed before the retention window",
                )
            }

            ClaimVerdict.Full -> {
                refuse(
                    ResultCode.CLAIM_STORE_FULL,
                    outcomeOfEarlierRequests(),
                    "the shard of this key is full; use a new version 7 UUID as the key",
                )
            }

            ClaimVerdict.Recorded -> {
                emptyList()
            }
        }
    }

    /** Reports that the claim was rejected because too many operations are pending. */
    public fun onRejected(): List<ClaimAction> =
        if (answered) {
            emptyList()
        } else {
            refuse(ResultCode.OVERLOADED, outcomeOfEarlierRequests(), "too many claims are pending")
        }

    /** Reports the [status] of [queried] from its holder, or null if the holder was unreachable. */
    public fun onStatus(
        queried: Attempt,
        status: AttemptStatus?,
        holderAlive: Boolean,
    ): List<ClaimAction> {
        if (answered) return emptyList()
        return when (status) {
            AttemptStatus.Void -> {
                voided += queried
                submit()
            }

            is AttemptStatus.Finished -> {
                onFinished(status.outcome, status.response)
            }

            AttemptStatus.Pending, AttemptStatus.Dispatched -> {
                listOf(ClaimAction.QueryStatus(queried, afterDelay = true))
            }

            AttemptStatus.Unknown, null -> {
                onStatusUnknown(queried, holderAlive)
            }
        }
    }

    /** Reports that a requested delay has elapsed. */
    public fun onDelayElapsed(): List<ClaimAction> = if (answered) emptyList() else submit()

    /** Reports the [result] of the dispatch. */
    public fun onDispatchResult(result: DispatchResult): List<ClaimAction> {
        if (result == DispatchResult.Failed && ledger.void(attempt)) {
            return listOf(ClaimAction.Record(ClaimOperation.Void(request.key, attempt))) +
                respond(ClaimAction.Fail(Outcome.NOT_RUN))
        }
        val outcome = if (result is DispatchResult.Answered) Outcome.RAN else Outcome.UNKNOWN
        val response = (result as? DispatchResult.Answered)?.response
        ledger.finish(attempt, outcome, response)
        val action = if (result is DispatchResult.Answered) ClaimAction.Deliver else ClaimAction.Fail(Outcome.UNKNOWN)
        return listOf(ClaimAction.Record(ClaimOperation.Finish(request.key, attempt, outcome, response))) +
            respond(action)
    }

    /** Reports that the caller's deadline has passed. A dispatched call keeps running and its result is recorded. */
    public fun onDeadline(): List<ClaimAction> {
        if (answered) return emptyList()
        return when {
            !ledger.void(attempt) -> {
                refuse(ResultCode.DEADLINE_EXCEEDED, Outcome.UNKNOWN, "the call is still running")
            }

            heldByOther -> {
                refuse(
                    ResultCode.CLAIM_IN_PROGRESS,
                    Outcome.UNKNOWN,
                    "an earlier attempt under the key is still in progress",
                )
            }

            else -> {
                refuse(
                    ResultCode.CLAIM_UNSETTLED,
                    outcomeOfEarlierRequests(),
                    "the platform did not confirm the claim",
                )
            }
        }
    }

    private fun submit(): List<ClaimAction> {
        claimMayExist = true
        val claim = ClaimOperation.Claim(request.key, attempt, request.requestDigest, request.arrivedAt, voided.toSet())
        return listOf(ClaimAction.Submit(claim))
    }

    private fun onHeld(record: ClaimRecord): List<ClaimAction> {
        val isVoid = record.state == ClaimState.VOID || record.attempt in voided
        return when {
            isVoid -> onVoid(record)
            record.requestDigest != request.requestDigest -> onOtherBody(record)
            record.state == ClaimState.FINISHED -> onFinished(record.outcome ?: Outcome.UNKNOWN, record.response)
            else -> onClaimed(record)
        }
    }

    /**
     * A void claim blocks requests that arrived up to twice the clock tolerance after it. If this request arrived
     * within one tolerance of the claim, every request that arrived before it is blocked too, whatever its router's
     * clock, so none of them runs. Otherwise an earlier one, stamped by a clock that is ahead, may not be blocked.
     */
    private fun onVoid(record: ClaimRecord): List<ClaimAction> {
        val certain = request.arrivedAt <= record.claimedAt + ClaimDocument.ARRIVAL_TOLERANCE_MILLIS
        val outcome = if (certain) Outcome.NOT_RUN else outcomeOfEarlierRequests()
        return refuse(
            ResultCode.CLAIM_VOIDED,
            outcome,
            "a request under the key that arrived at about the same time was refused",
        )
    }

    /**
     * Until the holding attempt is finished it may still become void, and then an earlier request with the same body as
     * this one may claim the key and run.
     */
    private fun onOtherBody(record: ClaimRecord): List<ClaimAction> {
        val outcome = if (record.state == ClaimState.FINISHED) Outcome.NOT_RUN else outcomeOfEarlierRequests()
        return refuse(ResultCode.CLAIM_KEY_REUSED, outcome, "the key was first used with a different request")
    }

    private fun onClaimed(record: ClaimRecord): List<ClaimAction> {
        heldByOther = true
        return listOf(ClaimAction.QueryStatus(record.attempt, afterDelay = false))
    }

    private fun onFinished(
        outcome: Outcome,
        response: RecordedResponse?,
    ): List<ClaimAction> {
        if (response == null || outcome != Outcome.RAN) {
            return refuse(ResultCode.CLAIM_ANSWER_NOT_KEPT, outcome, "an earlier attempt under the key has completed")
        }
        ledger.void(attempt)
        return respond(ClaimAction.Replay(response))
    }

    /** The holder may have recorded its result before it stopped, so the claim is read again before refusing. */
    private fun onStatusUnknown(
        queried: Attempt,
        holderAlive: Boolean,
    ): List<ClaimAction> {
        failedQueries++
        if (failedQueries <= MAX_FAILED_QUERIES || holderAlive) return listOf(ClaimAction.Delay)
        return refuse(ResultCode.CLAIM_HOLDER_GONE, Outcome.UNKNOWN, "the attempt's holder ${queried.holder} is gone")
    }

    /** The outcome of earlier requests under the key, as far as it is known without reading the claim. */
    private fun outcomeOfEarlierRequests(): Outcome = if (request.isFirst) Outcome.NOT_RUN else Outcome.UNKNOWN

    /** Refuses the call. An attempt that wasn't dispatched is voided first, so that a `not_run` outcome stays true. */
    private fun refuse(
        code: ResultCode,
        outcome: Outcome,
        detail: String,
    ): List<ClaimAction> {
        val mustRecord = ledger.void(attempt) && claimMayExist
        val record = listOf(ClaimAction.Record(ClaimOperation.Void(request.key, attempt))).filter { mustRecord }
        return record + respond(ClaimAction.Refuse(code, outcome, detail))
    }

    private fun respond(action: ClaimAction): List<ClaimAction> {
        if (answered) return emptyList()
        answered = true
        return listOf(action)
    }

    private companion object {
        const val MAX_FAILED_QUERIES = 3
    }
}
