package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.PlacementRequest
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.state.EndpointHandle
import dev.almondhaven.model.EndpointId

/** Finds the endpoints that are eligible for a call, and the best of them. */
internal class EndpointSelector(
    private val context: CallContext,
) {
    /**
     * Endpoints of the call's service that accept new requests and run one of [versions]. While none of these is
     * listed, as at the start of a roll-out, a non-strict constraint falls back to the endpoints of the other version.
     */
    fun eligibleEndpoints(
        call: AdmittedCall,
        versions: VersionConstraint,
    ): List<EndpointHandle> {
        val routing = context.routing
        val accepting = routing.endpointsOf(call.service).filter { routing.takesRequests(it.state.listing) }
        val preferred = accepting.filter { versions.allows(it.state.listing.version) }
        return if (preferred.isEmpty() && versions.allowsFallback) accepting else preferred
    }

    /**
     * Returns the best of [eligible], preferring endpoints that were not [tried], and then those that were not tried
     * [last]; null if none admits the request. A request that is a [suspect] goes to an endpoint without another one if
     * possible, so that a second crash tells which of them is to blame.
     */
    fun choose(
        eligible: List<EndpointHandle>,
        tried: Set<EndpointId>,
        request: PlacementRequest,
        last: EndpointId? = null,
        suspect: Boolean = false,
    ): EndpointHandle? {
        val untriedEndpoints = eligible.filter { it.state.listing.id !in tried }
        val withoutSuspects = if (suspect) untriedEndpoints.filter { it.suspectsInFlight == 0 } else emptyList()
        return best(withoutSuspects, request)
            ?: best(untriedEndpoints, request)
            ?: best(eligible.filter { it.state.listing.id != last }, request)
            ?: best(eligible, request)
    }

    /** Milliseconds until the best of [eligible] is expected to begin its response. */
    fun expectedMillis(
        eligible: List<EndpointHandle>,
        request: PlacementRequest,
    ): Double = context.placement.expectedFirstTokenMillis(eligible.map { it.state }, request, context.clock.nanos())

    /** Average backlog of queued prefill at one of [eligible], in milliseconds. */
    fun backlogMillis(eligible: List<EndpointHandle>): Double =
        context.placement.averagePrefillBacklogMillis(eligible.map { it.state }, context.clock.nanos())

    private fun best(
        candidates: List<EndpointHandle>,
        request: PlacementRequest,
    ): EndpointHandle? {
        val chosen =
            context.placement.choose(candidates.map { it.state }, request, context.clock.nanos()) ?: return null
        return candidates.first { it.state === chosen }
    }

    /** Builds the placement request for [call] on [model], which is null for plain services. */
    fun placementRequest(
        call: AdmittedCall,
        model: String?,
    ): PlacementRequest {
        val demand = call.demand
        val sharedPrefix = demand.promptParts.dropLast(1).lastOrNull()
        return PlacementRequest(
            model.orEmpty(),
            demand.promptTokens,
            demand.promptParts,
            sharedPrefix?.let { "${it.id}/$model" },
            call.request.body.size + demand.outputTokens * BYTES_PER_TOKEN + ANSWER_HEAD_BYTES,
        )
    }

    private companion object {
        /** An event of some ten tokens takes 80 to 90 bytes. */
        const val BYTES_PER_TOKEN = 8

        /** The headers of a response, and the body of a plain service's one. */
        const val ANSWER_HEAD_BYTES = 1_000
    }
}
