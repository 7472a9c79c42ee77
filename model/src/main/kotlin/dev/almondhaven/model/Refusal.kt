package dev.almondhaven.model

import kotlin.time.Duration

/**
 * Why a request got an error instead of an answer.
 *
 * @property code the numbered result.
 * @property detail what exactly was wrong, for the caller.
 * @property outcome whether the request ran.
 * @property retryAfter how long the caller should wait before it tries again; null when a retry won't help.
 */
public data class Refusal(
    public val code: ResultCode,
    public val detail: String,
    public val outcome: Outcome,
    public val retryAfter: Duration? = null,
) {
    public companion object {
        /** A refusal of a request of which no byte reached an endpoint. */
        public fun notRun(
            code: ResultCode,
            detail: String,
            retryAfter: Duration? = null,
        ): Refusal = Refusal(code, detail, Outcome.NOT_RUN, retryAfter)
    }
}
