package dev.almondhaven.router.filter

import dev.almondhaven.decision.choice.VersionConditions
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Provides the current conditions of a version, such as its utilisation, to the model choice. */
internal fun interface VersionConditionsSource {
    fun of(version: ModelVersionId): VersionConditions
}

/**
 * Estimates a version's utilisation from this router's own requests in flight, assuming that every other router has as
 * many.
 */
internal class VersionLoad(
    private val holder: CatalogueHolder,
    private val routerCount: () -> Int,
) : VersionConditionsSource {
    private val inFlight = ConcurrentHashMap<ModelVersionId, AtomicInteger>()

    override fun of(version: ModelVersionId): VersionConditions {
        val ownInFlight = inFlight[version]?.get() ?: 0
        if (ownInFlight == 0) return NO_LOAD
        val slots = holder.index.endpoints(version).sumOf { it.slots }
        return if (slots == 0) NO_LOAD else VersionConditions(ownInFlight.toDouble() * routerCount() / slots)
    }

    /** Counts a request as in flight on [version] until the request of [journal] ends. */
    fun count(
        version: ModelVersionId,
        journal: RequestJournal,
    ) {
        val counter = inFlight.computeIfAbsent(version) { AtomicInteger() }
        counter.incrementAndGet()
        journal.whenEnded { counter.decrementAndGet() }
    }

    private companion object {
        val NO_LOAD = VersionConditions()
    }
}
