package dev.almondhaven.router.billing

import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.catalogue.Price
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestStep
import dev.almondhaven.router.filter.Usage
import kotlin.math.roundToLong

/** Makes the billing record of a request at its end, if any of it was dispatched. */
internal class BillingRecorder(
    private val holder: CatalogueHolder,
    private val offer: (BillingRecord) -> Unit,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    /** Bills [exchange] when it has ended. */
    fun attach(exchange: Exchange): Unit = exchange.journal.whenEnded { recordOf(exchange)?.let(offer) }

    private fun recordOf(exchange: Exchange): BillingRecord? {
        val journal = exchange.journal
        val organisation = journal.organisation ?: return null
        if (!journal.dispatched) return null
        val served = RequestStep(journal.servedVersion, journal.servedEndpoint, journal.usage)
        val steps = journal.discardedSteps + served
        return BillingRecord(
            exchange.requestId,
            organisation,
            endedAt = wallMillis(),
            version = journal.servedVersion,
            service = serviceOf(exchange),
            promptTokens = steps.sumOf { it.usage?.promptTokens ?: 0 },
            completionTokens = steps.sumOf { it.usage?.completionTokens ?: 0 },
            costMicros = steps.sumOf { cost(it.version?.let(::priceOf), it.usage) },
            resultCode = journal.refusal?.code?.number ?: 0,
        )
    }

    private fun priceOf(version: ModelVersionId): Price? = holder.index.version(version)?.price

    private fun serviceOf(exchange: Exchange): ServiceId? {
        if (!exchange.path.startsWith(SERVICE_PREFIX)) return null
        return ServiceId(
            exchange.path
                .removePrefix(SERVICE_PREFIX)
                .substringBefore('/')
                .substringBefore('?'),
        )
    }

    private fun cost(
        price: Price?,
        usage: Usage?,
    ): Long =
        if (price == null || usage == null) {
            0
        } else {
            (price.input * usage.promptTokens + price.output * usage.completionTokens).roundToLong()
        }

    private companion object {
        const val SERVICE_PREFIX = "/services/"
    }
}
