package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.PlacementRequest
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.state.KnownEndpoint
import dev.almondhaven.model.EndpointId
import dev.almondhaven.traffic.CallDemand

/** Finds the endpoints that may run a call, and the best of them. */
internal class EndpointSelection(
    private val context: CallContext,
) {
    /**
     * Endpoints of the call's service that may run it now: those of [versions], or those of the other version while none of
     * them is listed, as at the start of a roll-out.
     */
    fun usable(
        call: AdmittedCall,
        versions: VersionConstraint,
    ): List<KnownEndpoint> {
        val inService = context.directory.endpointsOf(call.service).filter(::inService)
        val preferred = inService.filter { versions.allows(it.belief.listing.version) }
        return if (preferred.isEmpty() && versions.allowsFallback) inService else preferred
    }

    private fun inService(endpoint: KnownEndpoint): Boolean {
        val listing = endpoint.belief.listing
        return !listing.leaving && listing.failureDomain.value !in context.directory.evacuated
    }

    /** The best of [usable], one that was not [tried] if there is any. */
    fun choose(
        usable: List<KnownEndpoint>,
        tried: Set<EndpointId>,
        demand: PlacementRequest,
    ): KnownEndpoint? {
        val untried = usable.filter { it.belief.listing.id !in tried }
        return best(untried, demand) ?: best(usable - untried.toSet(), demand)
    }

    /** Milliseconds until the best of [usable] is expected to begin its answer. */
    fun expectedMillis(
        usable: List<KnownEndpoint>,
        demand: PlacementRequest,
    ): Double = context.placement.expectedFirstTokenMillis(usable.map { it.belief }, demand, context.clock.nanos())

    /** Milliseconds of reading that wait at one of [usable] on average. */
    fun backlogMillis(usable: List<KnownEndpoint>): Double =
        context.placement.averagePrefillBacklogMillis(usable.map { it.belief }, context.clock.nanos())

    private fun best(
        among: List<KnownEndpoint>,
        demand: PlacementRequest,
    ): KnownEndpoint? {
        val chosen = context.placement.choose(among.map { it.belief }, demand, context.clock.nanos()) ?: return null
        return among.first { it.belief === chosen }
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
