package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces the requests per second that an endpoint has stated it takes from all routers together.
 *
 * @property perSecond null if the endpoint states no limit any more.
 */
@Serializable
internal data class LimitAnnouncement(
    @SerialName("e") val endpoint: String,
    @SerialName("l") val perSecond: Double? = null,
)
