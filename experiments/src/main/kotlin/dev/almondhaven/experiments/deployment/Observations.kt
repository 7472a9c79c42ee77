package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.standins.RecordedRequest

/** A period, in epoch milliseconds, in which a failure domain was out of service. */
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

/** A request run, as recorded by the simulated endpoint itself. */
public data class ObservedRun(
    public val endpoint: EndpointId,
    public val record: RecordedRequest,
)

/** A billing record stored on the platform. */
public data class ObservedBill(
    public val requestId: String,
    public val organisation: String,
)

/**
 * Everything observed in a run of a deployment, from the callers, the simulated endpoints' records and the platform.
 *
 * @property killed addresses of the routers that were killed without a graceful shutdown.
 * @property catalogue the configuration at the end of the run.
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
