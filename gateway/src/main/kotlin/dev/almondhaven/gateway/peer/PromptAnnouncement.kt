package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a router tells the others about prompt parts that may crash endpoints.
 *
 * @property answeredParts suspected parts that an endpoint has answered.
 */
@Serializable
internal data class PromptAnnouncement(
    @SerialName("c") val crashes: List<CrashAnnouncement> = emptyList(),
    @SerialName("a") val answeredParts: List<String> = emptyList(),
    @SerialName("q") val quarantines: List<QuarantineAnnouncement> = emptyList(),
) {
    val isEmpty: Boolean get() = crashes.isEmpty() && answeredParts.isEmpty() && quarantines.isEmpty()
}
