package dev.almondhaven.router.filter

import dev.almondhaven.decision.retry.FailedAttempt
import dev.almondhaven.decision.retry.RetryBudget
import dev.almondhaven.decision.retry.RetryDecision
import dev.almondhaven.decision.retry.RetryPolicy
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.endpoint.AnswerRelay
import dev.almondhaven.router.endpoint.Resumption
import dev.almondhaven.router.settings.EndpointSettings
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.apache.commons.rng.simple.ThreadLocalRandomSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

private val logger = KotlinLogging.logger {}

/**
 * Retries endpoint choice and dispatch after a failed attempt, each time on an endpoint not tried before, within the
 * deadline and the retry [budget]. A streamed answer that breaks off resumes after the last frame that the caller has.
 */
internal class RetryFilter(
    private val settings: EndpointSettings,
    private val clock: NanoClock,
    private val budget: RetryBudget = RetryBudget(),
) : RequestFilter {
    private val policy = RetryPolicy(budget)

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val attempts = Attempts(next)
        val first = exchange.forRetry(exchange.triedEndpoints, exchange.resumeAfter)
        return attempts.run(first).thenApply { attempts.relay(it) }
    }

    /** The attempts at one request, run one after the other: each starts only after the previous one has failed. */
    private inner class Attempts(
        private val next: RequestHandler,
    ) {
        private var attemptCount = 0

        fun run(exchange: Exchange): CompletableFuture<Resumption> {
            attemptCount++
            return next.handle(exchange).thenCompose { answer -> retryIfRefused(exchange, answer) }
        }

        fun relay(resumption: Resumption): Answer {
            val answer = resumption.answer as? Answer.Streamed ?: return resumption.answer
            val relay = AnswerRelay(settings, clock, ::resume, resumption.exchange)
            return Answer.Streamed(relay.start(resumption.exchange, answer.frames))
        }

        private fun retryIfRefused(
            exchange: Exchange,
            answer: Answer,
        ): CompletableFuture<Resumption> {
            val unchanged = CompletableFuture.completedFuture(Resumption(exchange, answer))
            if (answer !is Answer.Refused) {
                exchange.attempt.whenEnded { if (it == AttemptResult.SUCCEEDED) budget.recordSuccess() }
                return unchanged
            }
            val delay = retryDelayOrNull(exchange, answer.refusal) ?: return unchanged
            return after(exchange, delay).thenCompose { run(nextAttempt(exchange, exchange.resumeAfter)) }.thenApply {
                // With no endpoint left to try, the caller gets the earlier failure.
                if (it.ranOutOfEndpoints()) Resumption(it.exchange, answer) else it
            }
        }

        private fun resume(
            failed: Exchange,
            refusal: Refusal,
            lastSequence: Long,
        ): CompletableFuture<Resumption?> {
            val delay = retryDelayOrNull(failed, refusal) ?: return CompletableFuture.completedFuture(null)
            LogEvent.ANSWER_RESUMED.log(logger) { "request=${failed.requestId} after=$lastSequence" }
            return after(failed, delay).thenCompose { run(nextAttempt(failed, lastSequence)) }.thenApply {
                it.takeUnless { resumption -> resumption.ranOutOfEndpoints() }
            }
        }

        /** The backoff before the next attempt; null when the request must not be retried. */
        private fun retryDelayOrNull(
            exchange: Exchange,
            refusal: Refusal,
        ): Duration? {
            if (exchange.journal.hasEnded) return null
            val remaining = (exchange.deadline - clock.nanos()).nanoseconds
            val outcome = exchange.journal.errorOutcome()
            val failed = FailedAttempt(refusal.code, outcome, exchange.call.idempotent, attemptCount, remaining)
            val decision = policy.afterFailure(failed, random())
            return (decision as? RetryDecision.Retry)?.delay
        }
    }

    private fun nextAttempt(
        exchange: Exchange,
        resumeAfter: Long,
    ): Exchange {
        val triedEndpoint = exchange.attempt.endpoint?.id
        val triedEndpoints =
            if (triedEndpoint == null) exchange.triedEndpoints else exchange.triedEndpoints + triedEndpoint
        return exchange.forRetry(triedEndpoints, resumeAfter)
    }

    private fun after(
        exchange: Exchange,
        delay: Duration,
    ): CompletableFuture<Unit> {
        val elapsed = CompletableFuture<Unit>()
        exchange.eventLoop.schedule({ elapsed.complete(Unit) }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        return elapsed
    }

    private fun Resumption.ranOutOfEndpoints(): Boolean =
        (answer as? Answer.Refused)?.refusal?.code == ResultCode.NO_ENDPOINT

    private fun random(): UniformRandomProvider = ThreadLocalRandomSource.current(RandomSource.SPLIT_MIX_64)
}
