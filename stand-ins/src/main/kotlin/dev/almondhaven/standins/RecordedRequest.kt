package dev.almondhaven.standins

import kotlinx.serialization.Serializable

/**
 * A request that an engine or service stand-in received. Experiments take these records as the
 * source of truth for their final counts.
 *
 * @property model model version that the request names; for a service, the HTTP method and path of the call.
 * @property arrivedAt in milliseconds since the epoch.
 * @property finished whether the whole response was sent.
 */
@Serializable
public data class RecordedRequest(
    public val requestId: String,
    public val organisation: String,
    public val model: String,
    public val arrivedAt: Long,
    public val finished: Boolean,
)
