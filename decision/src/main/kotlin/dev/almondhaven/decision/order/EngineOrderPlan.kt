package dev.almondhaven.decision.order

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ModelVersionId

/**
 * An order to an engine: the versions that it should have loaded.
 *
 * @property startsLoad whether the order makes the engine load a further version.
 */
public data class PlannedOrder(
    public val endpoint: Endpoint,
    public val versions: List<ModelVersionId>,
    public val startsLoad: Boolean,
)

/**
 * Plans the orders that bring engines from the state they report to the state in the catalogue, one safe step at a
 * time. It is stateless, so another router can take over at any point.
 *
 * - The number of new loads is limited, because the weight store sustains only so many at a time.
 * - A version in service is unloaded only if another endpoint that the catalogue assigns it to reports it as loaded.
 */
public class EngineOrderPlan(
    private val catalogue: Catalogue,
    private val reports: Map<EndpointId, EngineReport>,
) {
    private val inService =
        catalogue.models
            .filter { it.state != VersionState.WITHDRAWN }
            .map { it.id }
            .toSet()
    private val engines = catalogue.endpoints.filter { it.service == null }

    /** The orders to [endpoints], with at most [maxLoads] new loads. Endpoints without a report get no order. */
    public fun orders(
        endpoints: List<Endpoint>,
        maxLoads: Int,
    ): List<PlannedOrder> {
        var remainingLoads = maxLoads
        return endpoints.mapNotNull { endpoint ->
            val report = reports[endpoint.id] ?: return@mapNotNull null
            val load = if (remainingLoads > 0) nextLoad(endpoint, report) else null
            if (load != null) remainingLoads--
            val kept = report.desired.filter { it in assignedVersions(endpoint) || !canUnload(it, endpoint) }
            val versions = kept + listOfNotNull(load)
            PlannedOrder(endpoint, versions, startsLoad = load != null).takeIf {
                versions.toSet() !=
                    report.desired.toSet()
            }
        }
    }

    private fun assignedVersions(endpoint: Endpoint): List<ModelVersionId> =
        endpoint.versions.filter { it in inService }

    /** An engine loads one version at a time: the next load starts once the last one is reported as loaded. */
    private fun nextLoad(
        endpoint: Endpoint,
        report: EngineReport,
    ): ModelVersionId? {
        val isLoading = report.desired.any { it !in report.loaded }
        return if (isLoading) null else assignedVersions(endpoint).firstOrNull { it !in report.desired }
    }

    private fun canUnload(
        version: ModelVersionId,
        endpoint: Endpoint,
    ): Boolean =
        version !in inService ||
            engines.any { it.id != endpoint.id && version in it.versions && isLoaded(version, it) }

    private fun isLoaded(
        version: ModelVersionId,
        endpoint: Endpoint,
    ): Boolean = reports[endpoint.id]?.let { version in it.loaded && version in it.desired } ?: false
}
