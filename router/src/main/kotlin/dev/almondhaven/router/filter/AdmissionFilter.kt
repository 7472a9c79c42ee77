package dev.almondhaven.router.filter

import dev.almondhaven.decision.limit.OrganisationLimiter
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.limit.UsageLimiter
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sheds load before a request reaches an endpoint: refuses requests above this process's limit on requests in flight,
 * and above this router's share of the organisation's concurrency and token-rate limits. A refused request was not run.
 */
internal class AdmissionFilter(
    private val maximumInFlight: Int,
    private val usageLimiter: UsageLimiter,
) : RequestFilter {
    private val inFlight = AtomicInteger()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (inFlight.incrementAndGet() > maximumInFlight) {
            inFlight.decrementAndGet()
            return refuse("this router already has $maximumInFlight requests in flight", RETRY_AFTER)
        }
        exchange.journal.whenEnded { inFlight.decrementAndGet() }
        val limiter = usageLimiter.of(exchange.organisation)
        if (!limiter.tryStart()) {
            return refuse(
                "the organisation has reached its limit of concurrent requests",
                RETRY_AFTER,
            )
        }
        exchange.journal.whenEnded { limiter.end() }
        val call = exchange.call as? Call.Model ?: return next.handle(exchange)
        return reserve(exchange, call, limiter) ?: next.handle(exchange)
    }

    /** Reserves the estimated tokens against the organisation's rate limit; returns a refusal when they exceed it. */
    private fun reserve(
        exchange: Exchange,
        call: Call.Model,
        limiter: OrganisationLimiter,
    ): CompletableFuture<Answer>? {
        val estimatedTokens = estimateTokens(exchange, call)
        val retryAfter = limiter.reserve(estimatedTokens)
        if (retryAfter != null) return refuse("the organisation has exceeded its token rate limit", retryAfter)
        exchange.journal.whenEnded {
            val usage = exchange.journal.usage
            val usedTokens = if (usage == null) 0 else usage.promptTokens + usage.completionTokens
            limiter.settle(estimatedTokens, usedTokens)
        }
        return null
    }

    private fun estimateTokens(
        exchange: Exchange,
        call: Call.Model,
    ): Long {
        val promptTokens = exchange.body.length() / BODY_BYTES_PER_TOKEN
        val outputTokens = (call.body["max_tokens"] as? JsonPrimitive)?.longOrNull ?: DEFAULT_OUTPUT_TOKENS
        return promptTokens + outputTokens.coerceIn(1, MAX_RESERVED_OUTPUT_TOKENS)
    }

    private fun refuse(
        detail: String,
        retryAfter: Duration,
    ): CompletableFuture<Answer> = Answer.Refused(Refusal.notRun(ResultCode.OVERLOADED, detail, retryAfter)).completed()

    private companion object {
        val RETRY_AFTER = 1.seconds
        const val BODY_BYTES_PER_TOKEN = 4
        const val DEFAULT_OUTPUT_TOKENS = 256L
        const val MAX_RESERVED_OUTPUT_TOKENS = 100_000L
    }
}
