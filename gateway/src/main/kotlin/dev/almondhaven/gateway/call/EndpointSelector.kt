package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.PlacementRequest
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.state.EndpointHandle
import dev.almondhaven.model.EndpointId
import dev.almondhaven.traffic.CallDemand

/** Finds the endpoints that may run a call, and the best of them. */
internal class EndpointSelector(
    private val context: CallContext,
) {
    /**
     * Endpoints of the call's service that may run it now: those of [versions], or those of the other version while none of
     * them is listed, as at the start of a roll-out.
     */
    fun usable(
        call: AdmittedCall,
        versions: VersionConstraint,
    ): List<EndpointHandle> {
        val inService = context.routing.endpointsOf(call.service).filter(::inService)
        val preferred = inService.filter { versions.allows(it.state.listing.version) }
        return if (preferred.isEmpty() && versions.allowsFallback) inService else preferred
    }

    private fun inService(endpoint: EndpointHandle): Boolean {
        val listing = endpoint.state.listing
        return !listing.leaving && listing.failureDomain.value !in context.routing.evacuated
    }

    /** The best of [usable], one that was not [tried] if there is any. */
    fun choose(
        usable: List<EndpointHandle>,
        tried: Set<EndpointId>,
        demand: PlacementRequest,
    ): EndpointHandle? {
        val untried = usable.filter { it.state.listing.id !in tried }
        return best(untried, demand) ?: best(usable - untried.toSet(), demand)
    }

    /** Milliseconds until the best of [usable] is expected to begin its answer. */
    fun expectedMillis(
        usable: List<EndpointHandle>,
        demand: PlacementRequest,
    ): Double = context.placement.expectedFirstTokenMillis(usable.map { it.state }, demand, context.clock.nanos())

    /** Milliseconds of reading that wait at one of [usable] on average. */
    fun backlogMillis(usable: List<EndpointHandle>): Double =
        context.placement.averagePrefillBacklogMillis(usable.map { it.state }, context.clock.nanos())

    private fun best(
        among: List<EndpointHandle>,
        demand: PlacementRequest,
    ): EndpointHandle? {
        val chosen = context.placement.choose(among.map { it.state }, demand, context.clock.nanos()) ?: return null
        return among.first { it.state === chosen }
    }

    /** What placing a call on [model] needs to know; null for the model of plain services. */
    fun demandOf(
        demand: CallDemand,
        model: String?,
    ): PlacementRequest {
        val shared = demand.promptParts.dropLast(1).lastOrNull()
        return PlacementRequest(
            model.orEmpty(),
            demand.promptTokens,
            demand.promptParts,
            shared?.let { "${it.id}/$model" },
        )
    }
}
