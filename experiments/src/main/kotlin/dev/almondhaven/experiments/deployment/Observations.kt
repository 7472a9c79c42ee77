package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.standins.RecordedRequest

/** A span of epoch milliseconds in which a failure domain was out of service. */
public data class DomainOutage(
    public val domain: FailureDomainId,
    public val from: Long,
    public val until: Long,
)

/** When a version was withdrawn, in epoch milliseconds. */
public data class WithdrawnVersion(
    public val version: ModelVersionId,
    public val at: Long,
)

/** A run that an endpoint's own record shows. */
public data class ObservedRun(
    public val endpoint: EndpointId,
    public val record: RecordedRequest,
)

/** A bill as the platform holds it. */
public data class ObservedBill(
    public val requestId: String,
    public val organisation: String,
)

/**
 * Everything that was seen in a run of a deployment, from the callers, the stand-ins' own records and the platform.
 *
 * @property killed addresses of routers that were stopped without warning.
 * @property catalogue the configuration at the end.
 */
public class Observations(
    public val calls: List<CallRecord>,
    public val engineRuns: List<ObservedRun>,
    public val serviceRuns: List<ObservedRun>,
    public val bills: List<ObservedBill>,
    public val killed: Set<String>,
    public val outages: List<DomainOutage>,
    public val withdrawals: List<WithdrawnVersion>,
    public val catalogue: Catalogue,
)
