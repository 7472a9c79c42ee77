package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Tells other routers that an attempt keeps an endpoint reading, or no longer does.
 *
 * @property key names the attempt.
 * @property millis expected time of reading; 0 when it has ended.
 */
@Serializable
internal data class PrefillAnnouncement(
    @SerialName("k") val key: String,
    @SerialName("e") val endpoint: String,
    @SerialName("m") val millis: Int,
)
