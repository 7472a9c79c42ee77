package dev.almondhaven.catalogue

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.model.VersionId

/** Prevents calls to an outer release note builder from inside a nested one. */
@DslMarker
public annotation class ReleaseNoteDsl

/**
 * Builds a release note in code.
 *
 * ```
 * releaseNote("first", reason = "start") {
 *     failureDomain("west", region = "wales")
 *     model("slate", "1") {
 *         price(input = 1.0, output = 2.0)
 *         quality(0.9)
 *     }
 *     organisation("roofers") { allow("slate") }
 *     engine("engine", "west", "127.0.0.1:9101", "slate@1")
 * }
 * ```
 */
public fun releaseNote(
    id: String,
    reason: String = "not given",
    build: ReleaseNoteBuilder.() -> Unit = {},
): ReleaseNote = ReleaseNoteBuilder().apply(build).build(NoteId(id), reason)

/** Collects the changes of one release note. */
@ReleaseNoteDsl
public class ReleaseNoteBuilder internal constructor() {
    private var models = ModelChanges()
    private var organisations = OrganisationChanges()
    private var services = ServiceChanges()
    private var endpoints = EndpointChanges()
    private var failureDomains = FailureDomainChanges()

    /** Adds a failure domain. */
    public fun failureDomain(
        id: String,
        region: String,
    ) {
        val domain = FailureDomain(FailureDomainId(id), RegionId(region))
        failureDomains = failureDomains.copy(added = failureDomains.added + domain)
    }

    /** Adds a model version. */
    public fun model(
        model: String,
        version: String,
        build: ModelVersionBuilder.() -> Unit = {},
    ) {
        val added = ModelVersionBuilder().apply(build).build(ModelId(model), VersionId(version))
        models = models.copy(added = models.added + added)
    }

    /** Replaces a model version with the one that [build] describes. */
    public fun changeModel(
        model: String,
        version: String,
        build: ModelVersionBuilder.() -> Unit,
    ) {
        val changed = ModelVersionBuilder().apply(build).build(ModelId(model), VersionId(version))
        models = models.copy(changed = models.changed + changed)
    }

    /** Withdraws a model version; its sessions move to [successor]. */
    public fun withdraw(
        model: String,
        version: String,
        successor: String? = null,
    ) {
        val withdrawal = Withdrawal(ModelId(model), VersionId(version), successor?.let { VersionId(it) })
        models = models.copy(withdrawn = models.withdrawn + withdrawal)
    }

    /** Adds an organisation. */
    public fun organisation(
        id: String,
        build: OrganisationBuilder.() -> Unit = {},
    ) {
        val added = OrganisationBuilder().apply(build).build(OrganisationId(id))
        organisations = organisations.copy(added = organisations.added + added)
    }

    /** Replaces an organisation with the one that [build] describes. */
    public fun changeOrganisation(
        id: String,
        build: OrganisationBuilder.() -> Unit,
    ) {
        val changed = OrganisationBuilder().apply(build).build(OrganisationId(id))
        organisations = organisations.copy(changed = organisations.changed + changed)
    }

    /** Adds a plain service. */
    public fun service(
        id: String,
        build: ServiceBuilder.() -> Unit,
    ) {
        val added = ServiceBuilder().apply(build).build(ServiceId(id))
        services = services.copy(added = services.added + added)
    }

    /** Adds a replica of a model engine that serves [versions], each written `model@version`. */
    public fun engine(
        id: String,
        failureDomain: String,
        address: String,
        vararg versions: String,
        slots: Int = Endpoint.DEFAULT_SLOTS,
        honoursFencing: Boolean = true,
    ) {
        val served = versions.map { ModelVersionId.parse(it) }
        val domain = FailureDomainId(failureDomain)
        val engine = Endpoint(EndpointId(id), domain, address, served, slots = slots, honoursFencing = honoursFencing)
        endpoints = endpoints.copy(added = endpoints.added + engine)
    }

    /** Adds a replica of the plain service [service]. */
    public fun serviceEndpoint(
        id: String,
        failureDomain: String,
        address: String,
        service: String,
    ) {
        val endpoint = Endpoint(EndpointId(id), FailureDomainId(failureDomain), address, service = ServiceId(service))
        endpoints = endpoints.copy(added = endpoints.added + endpoint)
    }

    /** Replaces an endpoint. */
    public fun changeEndpoint(endpoint: Endpoint) {
        endpoints = endpoints.copy(changed = endpoints.changed + endpoint)
    }

    internal fun build(
        id: NoteId,
        reason: String,
    ): ReleaseNote = ReleaseNote(id, reason, models, organisations, services, endpoints, failureDomains)
}
