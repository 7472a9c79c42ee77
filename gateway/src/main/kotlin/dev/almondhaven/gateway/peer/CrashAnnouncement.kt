package dev.almondhaven.gateway.peer

import dev.almondhaven.decision.traffic.CrashReport
import dev.almondhaven.model.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Announces a request that an endpoint had not begun to answer when it crashed; see [CrashReport]. */
@Serializable
internal data class CrashAnnouncement(
    @SerialName("e") val endpoint: String,
    @SerialName("b") val startedAtMillis: Long,
    @SerialName("r") val request: String,
    @SerialName("p") val parts: List<String>,
    @SerialName("h") val responseStarted: Boolean,
) {
    fun report(): CrashReport =
        CrashReport(
            EndpointId(endpoint),
            startedAtMillis,
            request,
            parts.toSet(),
            responseStarted,
        )

    companion object {
        fun of(report: CrashReport): CrashAnnouncement =
            CrashAnnouncement(
                report.endpoint.value,
                report.startedAtMillis,
                report.request,
                report.parts.toList(),
                report.responseStarted,
            )
    }
}
