package dev.almondhaven.gateway.state

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.traffic.EngineSpeed
import dev.almondhaven.decision.traffic.RepeatWindow
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ServiceId

/** The endpoints of one service that the platform lists, and the budget that its repeats share. */
internal class ServiceEndpoints(
    val service: ServiceId,
    newRetryBudget: () -> RepeatWindow,
) {
    /** Made with the first request, when the routers that share it are known. */
    val retryBudget: RepeatWindow by lazy(LazyThreadSafetyMode.NONE, newRetryBudget)

    /** Nearly all endpoints may be unreachable: a failure domain that is cut off has only its own. */
    val ejectionGroup = EjectionGroup(MAX_EJECTED_SHARE)
    val engineSpeed = EngineSpeed()
    val endpoints = LinkedHashMap<EndpointId, EndpointHandle>()

    private companion object {
        const val MAX_EJECTED_SHARE = 0.9
    }
}
