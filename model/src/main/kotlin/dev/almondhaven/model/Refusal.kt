package dev.almondhaven.model

import kotlin.time.Duration

/**
 * An error that a request ended with in place of a response.
 *
 * @property code result code that identifies the kind of error.
 * @property detail description of the error for the caller.
 * @property outcome whether the request was executed.
 * @property retryAfter time that the caller should wait before a retry; null if a retry will not help.
 */
public data class Refusal(
    public val code: ResultCode,
    public val detail: String,
    public val outcome: Outcome,
    public val retryAfter: Duration? = null,
) {
    public companion object {
        /** An error for a request of which no byte reached an endpoint. */
        public fun notRun(
            code: ResultCode,
            detail: String,
            retryAfter: Duration? = null,
        ): Refusal = Refusal(code, detail, Outcome.NOT_RUN, retryAfter)
    }
}
