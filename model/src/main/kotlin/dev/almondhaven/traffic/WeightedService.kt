package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId

/**
 * One of the services that share a route.
 *
 * @property weight its part of the route's requests, against the sum of all weights.
 */
public data class WeightedService(
    public val service: ServiceId,
    public val weight: Double,
)
