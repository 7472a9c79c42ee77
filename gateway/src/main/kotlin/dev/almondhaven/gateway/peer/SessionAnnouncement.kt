package dev.almondhaven.gateway.peer

import dev.almondhaven.decision.traffic.ActiveSession
import dev.almondhaven.model.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces to other routers which version of a service a session last ran on.
 *
 * @property running whether the request is still running.
 * @property idleMillis time since the request ended; 0 if it is running or has just ended.
 */
@Serializable
internal data class SessionAnnouncement(
    @SerialName("s") val service: String,
    @SerialName("i") val session: String,
    @SerialName("v") val version: String,
    @SerialName("r") val running: Boolean,
    @SerialName("d") val idleMillis: Long = 0,
) {
    companion object {
        fun of(
            service: ServiceId,
            session: ActiveSession,
        ): SessionAnnouncement =
            SessionAnnouncement(
                service.value,
                session.id,
                session.version,
                session.isRunning,
                session.idle.inWholeMilliseconds,
            )
    }
}
