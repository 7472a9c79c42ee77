package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces to other routers that an attempt keeps an endpoint in prefill, or no longer does.
 *
 * @property key identifies the attempt.
 * @property millis expected prefill time; 0 when the prefill has ended.
 */
@Serializable
internal data class PrefillAnnouncement(
    @SerialName("k") val key: String,
    @SerialName("e") val endpoint: String,
    @SerialName("m") val millis: Int,
)
