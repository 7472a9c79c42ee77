package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Chooses the endpoint with the fewest own requests in flight, the own failure domain first. */
internal class EndpointChoiceFilter(
    private val holder: CatalogueHolder,
    private val failureDomain: FailureDomainId,
) : RequestFilter {
    private val inFlight = ConcurrentHashMap<EndpointId, AtomicInteger>()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val chosen = candidates(exchange).minWithOrNull(compareBy({ it.failureDomain != failureDomain }, { load(it) }))
        if (chosen == null) {
            val refusal = Refusal.notRun(ResultCode.NO_ENDPOINT, "no endpoint in service", RETRY_AFTER)
            return Answer.Refused(refusal).completed()
        }
        val counter = counter(chosen)
        counter.incrementAndGet()
        exchange.journal.whenEnded { counter.decrementAndGet() }
        return next.handle(exchange.with(chosen))
    }

    private fun candidates(exchange: Exchange): List<Endpoint> =
        when (val call = exchange.call) {
            is Call.Service -> holder.index.endpoints(call.service)
            else -> exchange.version?.let { holder.index.endpoints(it.id) }.orEmpty()
        }

    private fun load(endpoint: Endpoint): Int = counter(endpoint).get()

    private fun counter(endpoint: Endpoint): AtomicInteger = inFlight.computeIfAbsent(endpoint.id) { AtomicInteger() }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
