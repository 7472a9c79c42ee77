package dev.almondhaven.catalogue

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.ServiceId
import kotlinx.serialization.Serializable

/**
 * One replica of a model engine or of a plain service.
 *
 * @property address `ip:port`.
 * @property versions model versions that the engine should serve; empty for a plain service.
 * @property service plain service that the endpoint serves; null for an engine.
 * @property slots number of requests that the endpoint runs concurrently when warm.
 * @property honoursFencing whether the engine rejects orders with an outdated fencing token.
 * @property leaving whether the endpoint is draining: it gets no new work, and running work continues.
 */
@Serializable
public data class Endpoint(
    public val id: EndpointId,
    public val failureDomain: FailureDomainId,
    public val address: String,
    public val versions: List<ModelVersionId> = emptyList(),
    public val service: ServiceId? = null,
    public val slots: Int = DEFAULT_SLOTS,
    public val honoursFencing: Boolean = true,
    public val leaving: Boolean = false,
) {
    public companion object {
        public const val DEFAULT_SLOTS: Int = 16
    }
}

/**
 * A failure domain.
 *
 * @property outOfService whether operators have taken it out of service.
 * @property returnedAt epoch milliseconds at which operators returned it to service; 0 if it was never out.
 */
@Serializable
public data class FailureDomain(
    public val id: FailureDomainId,
    public val region: RegionId,
    public val outOfService: Boolean = false,
    public val returnedAt: Long = 0,
)
