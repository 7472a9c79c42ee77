package dev.almondhaven.router.filter

import dev.almondhaven.model.Generation
import java.time.Instant
import java.util.concurrent.CompletableFuture

/**
 * Tells the caller when the configuration that its answer rests on is no longer confirmed by the platform, for example
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
            val instant = Instant.ofEpochSecond(since / MILLIS_PER_SECOND)
            exchange.journal.addAnswerHeader(HEADER, "${generation()}; stale since $instant")
        }
        return next.handle(exchange)
    }

    private companion object {
        const val HEADER = "x-almondhaven-configuration"
        const val MILLIS_PER_SECOND = 1_000L
    }
}
