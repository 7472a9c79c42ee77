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
 * Runs endpoint choice and dispatch again when an attempt failed, each time at an endpoint not tried before, within the
 * deadline and the [budget]. A streamed answer that broke off goes on behind the last frame that the caller has.
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
        val tries = Tries(next)
        val first = exchange.forRetry(exchange.triedEndpoints, exchange.resumeAfter)
        return tries.run(first).thenApply { tries.relayed(it) }
    }

    /** The attempts at one request; an attempt starts only when the one before has failed. */
    private inner class Tries(
        private val next: RequestHandler,
    ) {
        private var count = 0

        fun run(exchange: Exchange): CompletableFuture<Resumption> {
            count++
            return next.handle(exchange).thenCompose { answer -> settle(exchange, answer) }
        }

        fun relayed(resumption: Resumption): Answer {
            val answer = resumption.answer as? Answer.Streamed ?: return resumption.answer
            val relay = AnswerRelay(settings, clock, ::resume, resumption.exchange)
            return Answer.Streamed(relay.start(resumption.exchange, answer.frames))
        }

        private fun settle(
            exchange: Exchange,
            answer: Answer,
        ): CompletableFuture<Resumption> {
            val settled = CompletableFuture.completedFuture(Resumption(exchange, answer))
            if (answer !is Answer.Refused) {
                exchange.attempt.whenEnded { if (it == AttemptResult.SUCCEEDED) budget.recordSuccess() }
                return settled
            }
            val delay = delayAfter(exchange, answer.refusal) ?: return settled
            return later(exchange, delay).thenCompose { run(again(exchange, exchange.resumeAfter)) }.thenApply {
                if (it.ranOutOfEndpoints()) Resumption(it.exchange, answer) else it
            }
        }

        private fun resume(
            failed: Exchange,
            refusal: Refusal,
            lastSequence: Long,
        ): CompletableFuture<Resumption?> {
            val delay = delayAfter(failed, refusal) ?: return CompletableFuture.completedFuture(null)
            LogEvent.ANSWER_RESUMED.log(logger) { "request=${failed.requestId} after=$lastSequence" }
            return later(failed, delay).thenCompose { run(again(failed, lastSequence)) }.thenApply {
                it.takeUnless { resumption -> resumption.ranOutOfEndpoints() }
            }
        }

        private fun delayAfter(
            exchange: Exchange,
            refusal: Refusal,
        ): Duration? {
            if (exchange.journal.hasEnded) return null
            val remaining = (exchange.deadline - clock.nanos()).nanoseconds
            val outcome = exchange.journal.errorOutcome()
            val failed = FailedAttempt(refusal.code, outcome, exchange.call.idempotent, count, remaining)
            val decision = policy.afterFailure(failed, random())
            return (decision as? RetryDecision.Retry)?.delay
        }
    }

    private fun again(
        exchange: Exchange,
        resumeAfter: Long,
    ): Exchange {
        val used = exchange.attempt.endpoint?.id
        return exchange.forRetry(
            if (used ==
                null
            ) {
                exchange.triedEndpoints
            } else {
                exchange.triedEndpoints + used
            },
            resumeAfter,
        )
    }

    private fun later(
        exchange: Exchange,
        delay: Duration,
    ): CompletableFuture<Unit> {
        val due = CompletableFuture<Unit>()
        exchange.eventLoop.schedule({ due.complete(Unit) }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        return due
    }

    private fun Resumption.ranOutOfEndpoints(): Boolean =
        (answer as? Answer.Refused)?.refusal?.code == ResultCode.NO_ENDPOINT

    private fun random(): UniformRandomProvider = ThreadLocalRandomSource.current(RandomSource.SPLIT_MIX_64)
}
