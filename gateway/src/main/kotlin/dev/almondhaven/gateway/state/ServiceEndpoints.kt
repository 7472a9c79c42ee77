package dev.almondhaven.gateway.state

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.traffic.PrefillSpeed
import dev.almondhaven.decision.traffic.SlidingRetryBudget
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ServiceId

/** The endpoints of one service that the platform lists, and the budget that its repeats share. */
internal class ServiceEndpoints(
    val service: ServiceId,
    budgetOf: () -> SlidingRetryBudget,
) {
    /** Made with the first request, when the routers that share it are known. */
    val budget: SlidingRetryBudget by lazy(LazyThreadSafetyMode.NONE, budgetOf)

    /** Nearly all endpoints may be unreachable: a failure domain that is cut off has only its own. */
    val group = EjectionGroup(MOST_EJECTED)
    val speed = PrefillSpeed()
    val endpoints = LinkedHashMap<EndpointId, EndpointHandle>()

    private companion object {
        const val MOST_EJECTED = 0.9
    }
}
