package dev.almondhaven.router.filter

import dev.almondhaven.model.Generation
import java.time.Instant
import java.util.concurrent.CompletableFuture

/**
 * Adds an answer header while the platform has not confirmed this router's configuration recently enough. The header
 * states the generation in use and since when it is stale, for example
 * `x-almondhaven-configuration: 17; stale since 2026-01-31T08:00:00Z`.
 */
internal class StaleConfigurationFilter(
    private val generation: () -> Generation,
    private val staleSince: () -> Long?,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        staleSince()?.let { since ->
            val staleInstant = Instant.ofEpochSecond(since / MILLIS_PER_SECOND)
            exchange.journal.addAnswerHeader(HEADER, "${generation()}; stale since $staleInstant")
        }
        return next.handle(exchange)
    }

    private companion object {
        const val HEADER = "x-almondhaven-configuration"
        const val MILLIS_PER_SECOND = 1_000L
    }
}
