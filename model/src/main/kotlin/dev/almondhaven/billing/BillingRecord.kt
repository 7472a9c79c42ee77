package dev.almondhaven.billing

import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one request is billed for. Each dispatched request has exactly one record; other requests have none.
 *
 * @property endedAt epoch milliseconds by the router's clock.
 * @property costMicros price of the tokens in micro-units of the users' currency.
 * @property resultCode number of the result code returned to the caller; 0 for success.
 */
@Serializable
public data class BillingRecord(
    @SerialName("id") public val request: RequestId,
    @SerialName("org") public val organisation: OrganisationId,
    @SerialName("at") public val endedAt: Long,
    @SerialName("model") public val version: ModelVersionId? = null,
    @SerialName("service") public val service: ServiceId? = null,
    @SerialName("in") public val promptTokens: Long = 0,
    @SerialName("out") public val completionTokens: Long = 0,
    @SerialName("cost") public val costMicros: Long = 0,
    @SerialName("code") public val resultCode: Int = 0,
)

/** Globally unique and never reused name of a batch: the router that sealed it and its number on that router. */
@Serializable
public data class BatchName(
    @SerialName("router") public val router: RouterId,
    @SerialName("number") public val number: Long,
) {
    override fun toString(): String = "$router/$number"
}

/** An immutable batch of records; its records never change after it is sealed. */
@Serializable
public data class SealedBatch(
    public val name: BatchName,
    public val sealedAt: Long,
    public val records: List<BillingRecord>,
)

/** The value of one billing object in the platform's store. */
@Serializable
public data class BillingObject(
    public val batches: List<SealedBatch>,
)
