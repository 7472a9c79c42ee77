package dev.almondhaven.router.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.filter.RequestHandler
import java.util.concurrent.CompletableFuture

/**
 * Keeps `not_run` true for requests that carry an idempotency key: it also speaks for every earlier request under the
 * key, so a refusal from before the claim was read says `unknown`. A caller that sends `Idempotency-Attempt: 1` vouches
 * that there was no earlier request.
 */
internal object IdempotencyOutcomeFilter : RequestFilter {
    private const val IDEMPOTENCY_KEY = "idempotency-key"
    private const val IDEMPOTENCY_ATTEMPT = "idempotency-attempt"

    /** Refusals of requests that can't have been accepted earlier in the same form. */
    private val alwaysRefused =
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
        return next.handle(exchange).thenApply { truthful(exchange, it) }
    }

    private fun truthful(
        exchange: Exchange,
        answer: Answer,
    ): Answer {
        val refusal = (answer as? Answer.Refused)?.refusal ?: return answer
        val claimed = refusal.outcome == Outcome.NOT_RUN && !exchange.journal.firstUseConfirmed
        if (!claimed || refusal.code in alwaysRefused) return answer
        return Answer.Refused(refusal.copy(outcome = Outcome.UNKNOWN))
    }
}
