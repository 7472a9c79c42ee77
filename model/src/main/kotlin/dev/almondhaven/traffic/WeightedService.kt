package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId

/**
 * One of the services among which the requests of a route are split.
 *
 * @property weight share of the route's requests, relative to the sum of all weights.
 */
public data class WeightedService(
    public val service: ServiceId,
    public val weight: Double,
)
