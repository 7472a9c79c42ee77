package dev.almondhaven.router.controller

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/** The catalogue in force on this router. Its generation only rises, whoever offers what. */
public class CatalogueHolder {
    private val current = AtomicReference(CatalogueIndex.EMPTY)

    /** The newest catalogue held. */
    public val index: CatalogueIndex get() = current.get()

    /** Whether any configuration is held. */
    public val configured: Boolean get() = index !== CatalogueIndex.EMPTY

    /** Takes [catalogue] if it is newer than the one held; returns whether it was. */
    public fun offer(catalogue: Catalogue): Boolean {
        if (catalogue.generation <= index.generation) return false
        val candidate = CatalogueIndex.of(catalogue)
        val previous = current.getAndUpdate { held -> if (held.generation < candidate.generation) candidate else held }
        val taken = previous.generation < candidate.generation
        if (taken) {
            LogEvent.CONFIGURATION_IN_FORCE.log(logger) {
                "generation=${catalogue.generation} previous=${previous.generation}"
            }
        }
        return taken
    }
}
