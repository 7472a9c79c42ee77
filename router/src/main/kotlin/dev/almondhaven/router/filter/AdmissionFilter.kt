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
 * Refuses requests beyond the bound on those in flight in this process, and beyond this router's part of the
 * organisation's concurrency and token-rate limits. Nothing of a refused request has run.
 */
internal class AdmissionFilter(
    private val maximumInFlight: Int,
    private val limiter: UsageLimiter,
) : RequestFilter {
    private val inFlight = AtomicInteger()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (inFlight.incrementAndGet() > maximumInFlight) {
            inFlight.decrementAndGet()
            return refuse("$maximumInFlight requests are in flight", RETRY_AFTER)
        }
        exchange.journal.whenEnded { inFlight.decrementAndGet() }
        val use = limiter.of(exchange.organisation)
        if (!use.tryStart()) return refuse("the organisation's limit of concurrent requests is reached", RETRY_AFTER)
        exchange.journal.whenEnded { use.end() }
        val call = exchange.call as? Call.Model ?: return next.handle(exchange)
        return reserve(exchange, call, use) ?: next.handle(exchange)
    }

    /** The refusal when the organisation's token rate is used up; null when tokens were reserved. */
    private fun reserve(
        exchange: Exchange,
        call: Call.Model,
        use: OrganisationLimiter,
    ): CompletableFuture<Answer>? {
        val estimate = estimate(exchange, call)
        val wait = use.reserve(estimate)
        if (wait != null) return refuse("the organisation's token rate is used up", wait)
        exchange.journal.whenEnded {
            val usage = exchange.journal.usage
            val used = if (usage == null) 0 else usage.promptTokens + usage.completionTokens
            use.settle(estimate, used)
        }
        return null
    }

    private fun estimate(
        exchange: Exchange,
        call: Call.Model,
    ): Long {
        val prompt = exchange.body.length() / CHARACTERS_PER_TOKEN
        val generated = (call.body["max_tokens"] as? JsonPrimitive)?.longOrNull ?: USUAL_GENERATED_TOKENS
        return prompt + generated.coerceIn(1, LARGEST_RESERVATION)
    }

    private fun refuse(
        detail: String,
        retryAfter: Duration,
    ): CompletableFuture<Answer> = Answer.Refused(Refusal.notRun(ResultCode.OVERLOADED, detail, retryAfter)).completed()

    private companion object {
        val RETRY_AFTER = 1.seconds
        const val CHARACTERS_PER_TOKEN = 4
        const val USUAL_GENERATED_TOKENS = 256L
        const val LARGEST_RESERVATION = 100_000L
    }
}
