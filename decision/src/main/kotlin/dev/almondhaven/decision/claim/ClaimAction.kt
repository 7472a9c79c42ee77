package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode

/** An action that a [ClaimStateMachine] asks its caller to carry out. */
public sealed interface ClaimAction {
    /** Apply [operation] to its shard and report the verdict to [ClaimStateMachine.onVerdict]. */
    public data class Submit(
        public val operation: ClaimOperation,
    ) : ClaimAction

    /** Apply [operation] to its shard; the verdict isn't needed. */
    public data class Record(
        public val operation: ClaimOperation,
    ) : ClaimAction

    /** Send the call to an endpoint and report the result to [ClaimStateMachine.onDispatchResult]. */
    public data object Dispatch : ClaimAction

    /** Ask the holder of [attempt] for its status, after a delay if [afterDelay]. */
    public data class QueryStatus(
        public val attempt: Attempt,
        public val afterDelay: Boolean,
    ) : ClaimAction

    /** Wait, then call [ClaimStateMachine.onDelayElapsed]. */
    public data object Delay : ClaimAction

    /** Return the response of the dispatch to the caller. */
    public data object Deliver : ClaimAction

    /** Return the recorded [response] of an earlier attempt to the caller. */
    public data class Replay(
        public val response: RecordedResponse,
    ) : ClaimAction

    /** Refuse the call. */
    public data class Refuse(
        public val code: ResultCode,
        public val outcome: Outcome,
        public val detail: String,
    ) : ClaimAction

    /** Refuse the call with the error of its dispatch and with [outcome]. */
    public data class Fail(
        public val outcome: Outcome,
    ) : ClaimAction
}

/** The result of dispatching a call to an endpoint. */
public sealed interface DispatchResult {
    /** The endpoint responded; [response] is null if it is too large to record. */
    public data class Answered(
        public val response: RecordedResponse?,
    ) : DispatchResult

    /** The dispatch failed, before or after anything was sent. */
    public data object Failed : DispatchResult
}
