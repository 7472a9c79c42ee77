package dev.almondhaven.gateway.state

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.retry.RetryBudget
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ServiceId

/** The endpoints of one service that the platform lists, and the budget that its repeats share. */
internal class ServiceEndpoints(
    val service: ServiceId,
    val budget: RetryBudget,
) {
    val group = EjectionGroup()
    val endpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
}
