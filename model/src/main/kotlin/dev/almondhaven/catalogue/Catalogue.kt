package dev.almondhaven.catalogue

import dev.almondhaven.model.Generation
import kotlinx.serialization.Serializable

/**
 * The complete configuration at one generation: the result of applying every accepted [ConfigurationEntry] in order.
 *
 * The platform stores it as the compacted snapshot, and routers hold it in memory; [CatalogueIndex] provides look-ups.
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
        /** The catalogue before the first accepted entry. */
        public val EMPTY: Catalogue = Catalogue()
    }
}
