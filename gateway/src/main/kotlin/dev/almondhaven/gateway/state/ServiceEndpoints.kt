package dev.almondhaven.gateway.state

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.traffic.PrefillSpeed
import dev.almondhaven.decision.traffic.SlidingRetryBudget
import dev.almondhaven.decision.traffic.TypicalPace
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ServiceId

/**
 * The known endpoints of one service, and the retry budget, ejection group, prefill speed estimate and typical pace that
 * they share.
 */
internal class ServiceEndpoints(
    val service: ServiceId,
    val retryBudget: SlidingRetryBudget,
) {
    /**
     * Nearly all endpoints may be ejected: a router in a failure domain that is cut off reaches only the endpoints
     * there.
     */
    val ejectionGroup = EjectionGroup(MAX_EJECTED_SHARE)
    val prefillSpeed = PrefillSpeed()
    val typicalPace = TypicalPace()
    val endpoints = LinkedHashMap<EndpointId, EndpointHandle>()

    private companion object {
        const val MAX_EJECTED_SHARE = 0.9
    }
}
