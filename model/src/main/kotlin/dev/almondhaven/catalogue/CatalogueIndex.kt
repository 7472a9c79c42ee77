package dev.almondhaven.catalogue

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId

/**
 * Immutable look-up tables over one [Catalogue], built once per generation and used by every request.
 */
public class CatalogueIndex private constructor(
    public val catalogue: Catalogue,
) {
    private val organisationsByDigest: Map<String, Organisation> =
        catalogue.organisations.flatMap { organisation -> organisation.tokenDigests.map { it to organisation } }.toMap()
    private val organisationsById: Map<OrganisationId, Organisation> = catalogue.organisations.associateBy { it.id }
    private val versionsById: Map<ModelVersionId, ModelVersion> = catalogue.models.associateBy { it.id }
    private val versionsByModel: Map<ModelId, List<ModelVersion>> = catalogue.models.groupBy { it.model }
    private val servicesById: Map<ServiceId, Service> = catalogue.services.associateBy { it.id }
    private val endpointsById: Map<EndpointId, Endpoint> = catalogue.endpoints.associateBy { it.id }
    private val domainsById: Map<FailureDomainId, FailureDomain> = catalogue.failureDomains.associateBy { it.id }
    private val endpointsByVersion: Map<ModelVersionId, List<Endpoint>> =
        catalogue.endpoints
            .flatMap { endpoint -> endpoint.versions.map { it to endpoint } }
            .groupBy({ it.first }, { it.second })
    private val endpointsByService: Map<ServiceId, List<Endpoint>> =
        catalogue.endpoints.filter { it.service != null }.groupBy { it.service!! }
    private val allowedByOrganisation: Map<OrganisationId, List<ModelVersion>> =
        catalogue.organisations.associate { organisation ->
            organisation.id to
                catalogue.models.filter { it.state == VersionState.ACTIVE && organisation.allows(it.id) }
        }

    /** Generation of the catalogue. */
    public val generation: Generation get() = catalogue.generation

    /** The organisation that owns the bearer token with this hexadecimal SHA-256 digest. */
    public fun organisationByDigest(digest: String): Organisation? = organisationsByDigest[digest]

    public fun organisation(id: OrganisationId): Organisation? = organisationsById[id]

    public fun version(id: ModelVersionId): ModelVersion? = versionsById[id]

    /** Every version of [model], withdrawn ones too. */
    public fun versions(model: ModelId): List<ModelVersion> = versionsByModel[model].orEmpty()

    public fun service(id: ServiceId): Service? = servicesById[id]

    public fun endpoint(id: EndpointId): Endpoint? = endpointsById[id]

    public fun failureDomain(id: FailureDomainId): FailureDomain? = domainsById[id]

    /** Versions in service that [organisation] may use. */
    public fun allowedVersions(organisation: OrganisationId): List<ModelVersion> =
        allowedByOrganisation[organisation].orEmpty()

    /** Whether new work of [organisation] may run on [id] under this generation. */
    public fun mayRun(
        organisation: OrganisationId,
        id: ModelVersionId,
    ): Boolean = version(id)?.state == VersionState.ACTIVE && organisation(organisation)?.allows(id) == true

    /** Whether [domain] takes new work. A domain that is not in the catalogue does. */
    public fun inService(domain: FailureDomainId): Boolean = domainsById[domain]?.outOfService != true

    /** Whether the endpoint [id] takes new work: it is in the catalogue, is not leaving and its domain is in service. */
    public fun takesNewWork(id: EndpointId): Boolean = endpointsById[id]?.let { takesNewWork(it) } ?: false

    /** Endpoints meant to serve [id] that take new work. */
    public fun endpoints(id: ModelVersionId): List<Endpoint> =
        endpointsByVersion[id].orEmpty().filter { takesNewWork(it) }

    /** Endpoints of [service] that take new work. */
    public fun endpoints(service: ServiceId): List<Endpoint> =
        endpointsByService[service].orEmpty().filter { takesNewWork(it) }

    private fun takesNewWork(endpoint: Endpoint): Boolean = !endpoint.leaving && inService(endpoint.failureDomain)

    public companion object {
        /** Builds the tables for [catalogue]. */
        public fun of(catalogue: Catalogue): CatalogueIndex = CatalogueIndex(catalogue)

        /** The index of the empty catalogue. */
        public val EMPTY: CatalogueIndex = of(Catalogue.EMPTY)
    }
}
