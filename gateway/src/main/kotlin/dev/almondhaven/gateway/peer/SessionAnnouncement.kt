package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces to other routers which version of a service a session last ran on.
 *
 * @property running whether the request is still running; false if it has just ended.
 */
@Serializable
internal data class SessionAnnouncement(
    @SerialName("s") val service: String,
    @SerialName("i") val session: String,
    @SerialName("v") val version: String,
    @SerialName("r") val running: Boolean,
)
