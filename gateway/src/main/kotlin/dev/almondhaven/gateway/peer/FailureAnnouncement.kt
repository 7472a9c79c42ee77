package dev.almondhaven.gateway.peer

import kotlinx.serialization.Serializable

/**
 * Tells that [endpoint] broke a connection without an answer. A request that may run once is lost with each such answer,
 * so that routers must not each lose one to learn of it.
 */
@Serializable
internal data class FailureAnnouncement(
    val endpoint: String,
)
