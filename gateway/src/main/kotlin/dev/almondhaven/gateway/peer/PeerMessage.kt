package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Content of one datagram to another router. */
@Serializable
internal data class PeerMessage(
    @SerialName("readings") val prefills: List<PrefillAnnouncement> = emptyList(),
    @SerialName("sessions") val sessions: List<SessionAnnouncement> = emptyList(),
    @SerialName("canaries") val canaries: List<CanaryAnnouncement> = emptyList(),
    @SerialName("limits") val limits: List<LimitAnnouncement> = emptyList(),
    @SerialName("rollOuts") val rollOuts: List<RollOutStatement> = emptyList(),
    @SerialName("failures") val failures: List<FailureAnnouncement> = emptyList(),
    @SerialName("prompts") val prompts: PromptAnnouncement = PromptAnnouncement(),
)
