package dev.almondhaven.decision.order

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ModelVersionId

/** What an endpoint ought to be ordered to have loaded. */
public data class PlannedOrder(
    public val endpoint: Endpoint,
    public val versions: List<ModelVersionId>,
    public val startsLoad: Boolean,
)

/**
 * The orders that bring engines from what they report to what the catalogue says, a safe step at a time. It remembers
 * nothing, so a successor goes on from wherever its predecessor stopped.
 *
 * - A version is loaded only with an allowance, since the weight store bears only so many loads.
 * - A version in service is unloaded only if another endpoint that is meant to serve it reports it as loaded.
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

    /** Orders to [endpoints], with at most [loads] new loads. Endpoints that don't report get none. */
    public fun orders(
        endpoints: List<Endpoint>,
        loads: Int,
    ): List<PlannedOrder> {
        var allowance = loads
        return endpoints.mapNotNull { endpoint ->
            val report = reports[endpoint.id] ?: return@mapNotNull null
            val load = if (allowance > 0) nextLoad(endpoint, report) else null
            if (load != null) allowance--
            val kept = report.desired.filter { it in wanted(endpoint) || !mayUnload(it, endpoint) }
            val versions = kept + listOfNotNull(load)
            PlannedOrder(endpoint, versions, startsLoad = load != null).takeIf {
                versions.toSet() !=
                    report.desired.toSet()
            }
        }
    }

    private fun wanted(endpoint: Endpoint): List<ModelVersionId> = endpoint.versions.filter { it in inService }

    /** One load at a time: the next one begins when the engine reports the last one as loaded. */
    private fun nextLoad(
        endpoint: Endpoint,
        report: EngineReport,
    ): ModelVersionId? {
        val busy = report.desired.any { it !in report.loaded }
        return if (busy) null else wanted(endpoint).firstOrNull { it !in report.desired }
    }

    private fun mayUnload(
        version: ModelVersionId,
        endpoint: Endpoint,
    ): Boolean =
        version !in inService ||
            engines.any { it.id != endpoint.id && version in it.versions && isWarm(version, it) }

    private fun isWarm(
        version: ModelVersionId,
        endpoint: Endpoint,
    ): Boolean = reports[endpoint.id]?.let { version in it.loaded && version in it.desired } ?: false
}
