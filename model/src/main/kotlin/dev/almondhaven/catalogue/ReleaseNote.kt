package dev.almondhaven.catalogue

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.model.VersionId
import kotlinx.serialization.Serializable

/**
 * Withdraws one version of a model.
 *
 * @property successor version that its sessions move to; overrides the successor that the version itself names.
 */
@Serializable
public data class Withdrawal(
    public val model: ModelId,
    public val version: VersionId,
    public val successor: VersionId? = null,
)

/** Model versions that a note adds, changes or withdraws. */
@Serializable
public data class ModelChanges(
    public val added: List<ModelVersion> = emptyList(),
    public val changed: List<ModelVersion> = emptyList(),
    public val withdrawn: List<Withdrawal> = emptyList(),
)

/** Organisations that a note adds, changes or withdraws. */
@Serializable
public data class OrganisationChanges(
    public val added: List<Organisation> = emptyList(),
    public val changed: List<Organisation> = emptyList(),
    public val withdrawn: List<OrganisationId> = emptyList(),
)

/** Plain services that a note adds, changes or withdraws. */
@Serializable
public data class ServiceChanges(
    public val added: List<Service> = emptyList(),
    public val changed: List<Service> = emptyList(),
    public val withdrawn: List<ServiceId> = emptyList(),
)

/** Endpoints that a note adds, changes or withdraws. */
@Serializable
public data class EndpointChanges(
    public val added: List<Endpoint> = emptyList(),
    public val changed: List<Endpoint> = emptyList(),
    public val withdrawn: List<EndpointId> = emptyList(),
)

/** Failure domains that a note adds, changes or withdraws. */
@Serializable
public data class FailureDomainChanges(
    public val added: List<FailureDomain> = emptyList(),
    public val changed: List<FailureDomain> = emptyList(),
    public val withdrawn: List<FailureDomainId> = emptyList(),
)

/**
 * A set of changes that operators publish: to models, organisations, services, endpoints and failure domains, with the
 * reason.
 */
@Serializable
public data class ReleaseNote(
    public val id: NoteId,
    public val reason: String,
    public val models: ModelChanges = ModelChanges(),
    public val organisations: OrganisationChanges = OrganisationChanges(),
    public val services: ServiceChanges = ServiceChanges(),
    public val endpoints: EndpointChanges = EndpointChanges(),
    public val failureDomains: FailureDomainChanges = FailureDomainChanges(),
)
