package dev.almondhaven.router.filter

import dev.almondhaven.decision.choice.VersionConditions
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** What holds for a version at the moment of the choice. */
internal fun interface VersionConditionsSource {
    fun of(version: ModelVersionId): VersionConditions
}

/**
 * Estimates a version's utilisation from this router's own requests in flight, taking it that every other router has as
 * many.
 */
internal class VersionLoad(
    private val holder: CatalogueHolder,
    private val routers: () -> Int,
) : VersionConditionsSource {
    private val inFlight = ConcurrentHashMap<ModelVersionId, AtomicInteger>()

    override fun of(version: ModelVersionId): VersionConditions {
        val own = inFlight[version]?.get() ?: 0
        if (own == 0) return NO_LOAD
        val slots = holder.index.endpoints(version).sumOf { it.slots }
        return if (slots == 0) NO_LOAD else VersionConditions(own.toDouble() * routers() / slots)
    }

    /** Counts a request on [version] until [journal] ends. */
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
