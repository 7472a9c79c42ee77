package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.PlacingDemand
import dev.almondhaven.decision.traffic.VersionChoice
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
    fun eligible(
        call: AdmittedCall,
        versions: VersionChoice,
    ): List<EndpointHandle> {
        val inService = context.routing.endpointsOf(call.service).filter(::inService)
        val preferred = inService.filter { versions.allows(it.state.listing.version) }
        return if (preferred.isEmpty() && versions.bindsOnlyIfListed) inService else preferred
    }

    private fun inService(endpoint: EndpointHandle): Boolean {
        val listing = endpoint.state.listing
        return !listing.leaving && listing.failureDomain.value !in context.routing.evacuatedDomains
    }

    /** The best of [usable], one that was not [tried] if there is any. */
    fun choose(
        eligible: List<EndpointHandle>,
        tried: Set<EndpointId>,
        demand: PlacingDemand,
    ): EndpointHandle? {
        val untriedEndpoints = eligible.filter { it.state.listing.id !in tried }
        return best(untriedEndpoints, demand) ?: best(eligible - untriedEndpoints.toSet(), demand)
    }

    /** Milliseconds until the best of [usable] is expected to begin its answer. */
    fun expectedMillis(
        eligible: List<EndpointHandle>,
        demand: PlacingDemand,
    ): Double = context.placement.expectedMillis(eligible.map { it.state }, demand, context.clock.nanos())

    /** Milliseconds of reading that wait at one of [usable] on average. */
    fun backlogMillis(eligible: List<EndpointHandle>): Double =
        context.placement.backlogMillis(eligible.map { it.state }, context.clock.nanos())

    private fun best(
        candidates: List<EndpointHandle>,
        demand: PlacingDemand,
    ): EndpointHandle? {
        val chosen = context.placement.choose(candidates.map { it.state }, demand, context.clock.nanos()) ?: return null
        return candidates.first { it.state === chosen }
    }

    /** What placing a call on [model] needs to know; null for the model of plain services. */
    fun placementDemand(
        demand: CallDemand,
        model: String?,
    ): PlacingDemand {
        val shared = demand.promptParts.dropLast(1).lastOrNull()
        return PlacingDemand(
            model.orEmpty(),
            demand.promptTokens,
            demand.promptParts,
            shared?.let { "${it.id}/$model" },
        )
    }
}
