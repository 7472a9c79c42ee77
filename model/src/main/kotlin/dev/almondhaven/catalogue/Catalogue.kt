package dev.almondhaven.catalogue

import dev.almondhaven.model.Generation
import kotlinx.serialization.Serializable

/**
 * The whole configuration in force at one generation: the fold of every accepted [ConfigurationEntry] in order.
 *
 * It is what the platform stores as the compacted snapshot and what routers hold in memory; [CatalogueIndex] answers
 * look-ups on it.
 */
@Serializable
public data class Catalogue(
    public val generation: Generation = Generation.NONE,
    public val failureDomains: List<FailureDomain> = emptyList(),
    public val models: List<ModelVersion> = emptyList(),
    public val organisations: List<Organisation> = emptyList(),
    public val services: List<Service> = emptyList(),
    public val endpoints: List<Endpoint> = emptyList(),
) {
    public companion object {
        /** The catalogue before any entry was accepted. */
        public val EMPTY: Catalogue = Catalogue()
    }
}
