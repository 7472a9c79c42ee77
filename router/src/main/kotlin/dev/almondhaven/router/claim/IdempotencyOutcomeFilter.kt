package dev.almondhaven.router.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.filter.RequestHandler
import java.util.concurrent.CompletableFuture

/**
 * Changes the outcome of an error from `not_run` to `unknown` if the request carries an idempotency key and an earlier
 * request under the key may have run. `not_run` covers all requests under the key, so it isn't certain for an error
 * that occurs before the claim was read. A caller that sends `Idempotency-Attempt: 1` asserts that there was no earlier
 * request.
 */
internal object IdempotencyOutcomeFilter : RequestFilter {
    private const val IDEMPOTENCY_KEY = "idempotency-key"
    private const val IDEMPOTENCY_ATTEMPT = "idempotency-attempt"

    /** Errors for which `not_run` is certain, since an identical earlier request can't have been accepted either. */
    private val alwaysRejected =
        setOf(
            ResultCode.MALFORMED_REQUEST,
            ResultCode.BODY_TOO_LARGE,
            ResultCode.UNKNOWN_PATH,
            ResultCode.CLAIM_KEY_MISSING,
        )

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (exchange.headers.get(IDEMPOTENCY_KEY) == null) return next.handle(exchange)
        if (exchange.headers.get(IDEMPOTENCY_ATTEMPT) == "1") exchange.journal.recordFirstUse()
        return next.handle(exchange).thenApply { withCertainOutcome(exchange, it) }
    }

    private fun withCertainOutcome(
        exchange: Exchange,
        answer: Answer,
    ): Answer {
        val refusal = (answer as? Answer.Refused)?.refusal ?: return answer
        val uncertain = refusal.outcome == Outcome.NOT_RUN && !exchange.journal.firstUseConfirmed
        if (!uncertain || refusal.code in alwaysRejected) return answer
        return Answer.Refused(refusal.copy(outcome = Outcome.UNKNOWN))
    }
}
