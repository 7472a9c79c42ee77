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

/** Creates the billing record of each request when it ends, if any attempt of it was dispatched. */
internal class BillingRecorder(
    private val catalogueHolder: CatalogueHolder,
    private val onRecord: (BillingRecord) -> Unit,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    /** Registers [exchange] to be billed when it ends. */
    fun attach(exchange: Exchange): Unit = exchange.journal.whenEnded { createRecordOrNull(exchange)?.let(onRecord) }

    private fun createRecordOrNull(exchange: Exchange): BillingRecord? {
        val journal = exchange.journal
        val organisation = journal.organisation ?: return null
        if (!journal.dispatched) return null
        val servedStep = RequestStep(journal.servedVersion, journal.servedEndpoint, journal.usage)
        val steps = journal.discardedSteps + servedStep
        return BillingRecord(
            exchange.requestId,
            organisation,
            endedAt = wallMillis(),
            version = journal.servedVersion,
            service = serviceOrNull(exchange),
            promptTokens = steps.sumOf { it.usage?.promptTokens ?: 0 },
            completionTokens = steps.sumOf { it.usage?.completionTokens ?: 0 },
            costMicros = steps.sumOf { costMicros(it.version?.let(::priceOrNull), it.usage) },
            resultCode = journal.refusal?.code?.number ?: 0,
        )
    }

    private fun priceOrNull(version: ModelVersionId): Price? = catalogueHolder.index.version(version)?.price

    private fun serviceOrNull(exchange: Exchange): ServiceId? {
        if (!exchange.path.startsWith(SERVICE_PREFIX)) return null
        return ServiceId(
            exchange.path
                .removePrefix(SERVICE_PREFIX)
                .substringBefore('/')
                .substringBefore('?'),
        )
    }

    private fun costMicros(
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
