package dev.almondhaven.traffic

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * An endpoint's entry in the platform's store.
 *
 * @property address `ip:port`.
 * @property version of the endpoint's software.
 * @property leaving whether the endpoint is draining and takes no new requests.
 * @property coldLeft remaining warm-up time, as of the moment the endpoint reported it.
 * @property startedAtMillis Unix time of the start in milliseconds, 0 if not reported; another value under the same id
 * means another endpoint.
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
