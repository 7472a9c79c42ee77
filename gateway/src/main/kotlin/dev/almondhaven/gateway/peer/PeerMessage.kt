package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What one datagram tells another router. */
@Serializable
internal data class PeerMessage(
    @SerialName("readings") val readings: List<PrefillAnnouncement> = emptyList(),
    @SerialName("sessions") val sessions: List<SessionAnnouncement> = emptyList(),
)
