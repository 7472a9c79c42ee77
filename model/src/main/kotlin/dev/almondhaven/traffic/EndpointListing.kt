package dev.almondhaven.traffic

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * What an endpoint says of itself in the platform's list.
 *
 * @property address `ip:port`.
 * @property version of the endpoint's software.
 * @property leaving whether it takes no new requests.
 * @property coldLeft how long it stays cold, counted from the moment it said so.
 * @property startedAtMillis Unix time of its start; another one under the same id is another endpoint. 0 if not said.
 */
public data class EndpointListing(
    public val id: EndpointId,
    public val service: ServiceId,
    public val address: String,
    public val failureDomain: FailureDomainId,
    public val version: String,
    public val slots: Int,
    public val leaving: Boolean,
    public val coldLeft: Duration,
    public val startedAtMillis: Long,
)
