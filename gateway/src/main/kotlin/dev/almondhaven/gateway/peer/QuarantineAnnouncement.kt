package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Announces that prompts which hold all of [parts] are not sent for another [millis]. */
@Serializable
internal data class QuarantineAnnouncement(
    @SerialName("p") val parts: List<String>,
    @SerialName("m") val millis: Long,
)
