package dev.almondhaven.decision.retry

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A failed attempt and what is left for the request.
 *
 * @property attempts attempts made so far, the failed one included.
 * @property outcome whether any attempt of the request may have run.
 * @property remaining time until the request's deadline.
 */
public data class FailedAttempt(
    public val code: ResultCode,
    public val outcome: Outcome,
    public val idempotent: Boolean,
    public val attempts: Int,
    public val remaining: Duration,
)

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
    /** The failure goes to the caller. */
    public data object GiveUp : RetryDecision

    /** Another attempt at another endpoint after [delay]. */
    public data class Retry(
        public val delay: Duration,
    ) : RetryDecision
}

/**
 * Decides on retries: exponential backoff with full jitter within the request's deadline and the process's
 * [budget]. A call that isn't idempotent moves on only when no byte of any attempt was written.
 */
public class RetryPolicy(
    private val budget: RetryBudget,
    private val maximumAttempts: Int = DEFAULT_MAXIMUM_ATTEMPTS,
    private val backoff: FullJitterBackoff = DEFAULT_BACKOFF,
) {
    init {
        require(maximumAttempts >= 1) { "maximumAttempts must be 1 or more, got $maximumAttempts" }
    }

    /** The decision after [failed]; a retry is charged to the budget at once. */
    public fun afterFailure(
        failed: FailedAttempt,
        random: UniformRandomProvider,
    ): RetryDecision {
        if (failed.code !in RETRYABLE || failed.attempts >= maximumAttempts) return RetryDecision.GiveUp
        if (!failed.idempotent && failed.outcome != Outcome.NOT_RUN) return RetryDecision.GiveUp
        val delay = backoff.delay(failed.attempts, random)
        if (delay >= failed.remaining || !budget.trySpend()) return RetryDecision.GiveUp
        return RetryDecision.Retry(delay)
    }

    public companion object {
        public const val DEFAULT_MAXIMUM_ATTEMPTS: Int = 3
        private val DEFAULT_BACKOFF = FullJitterBackoff(base = 10.milliseconds, cap = 250.milliseconds)

        /** Failures that another endpoint may not have. */
        private val RETRYABLE =
            setOf(
                ResultCode.ENDPOINT_UNREACHABLE,
                ResultCode.ENDPOINT_FAILED,
                ResultCode.ENDPOINT_SILENT,
                ResultCode.ANSWER_MALFORMED,
                ResultCode.ANSWER_CUT,
            )
    }
}
