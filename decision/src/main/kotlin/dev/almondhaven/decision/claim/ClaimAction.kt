package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode

/** What a [ClaimStateMachine] wants done. */
public sealed interface ClaimAction {
    /** Settle [operation] and report its verdict. */
    public data class Submit(
        public val operation: ClaimOperation,
    ) : ClaimAction

    /** Settle [operation]; its verdict isn't waited for. */
    public data class Record(
        public val operation: ClaimOperation,
    ) : ClaimAction

    /** Pass the call on to an endpoint and report how that ended. */
    public data object Dispatch : ClaimAction

    /** Ask the holder of [attempt] for its status, after a pause if [later]. */
    public data class QueryStatus(
        public val attempt: Attempt,
        public val afterDelay: Boolean,
    ) : ClaimAction

    /** Report the end of a pause. */
    public data object Delay : ClaimAction

    /** Give the caller the answer of its own call. */
    public data object Deliver : ClaimAction

    /** Give the caller the kept answer of an earlier attempt. */
    public data class Replay(
        public val response: RecordedResponse,
    ) : ClaimAction

    /** Refuse the call. */
    public data class Refuse(
        public val code: ResultCode,
        public val outcome: Outcome,
        public val detail: String,
    ) : ClaimAction

    /** Refuse the call with the error that its dispatch ended with, and [outcome]. */
    public data class Fail(
        public val outcome: Outcome,
    ) : ClaimAction
}

/** How the way to an endpoint ended. */
public sealed interface DispatchResult {
    /** With an answer; [answer] is null if it is too large to keep. */
    public data class Answered(
        public val response: RecordedResponse?,
    ) : DispatchResult

    /** With an error, whether or not anything was sent. */
    public data object Failed : DispatchResult
}
