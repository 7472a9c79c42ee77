package dev.almondhaven.gateway.peer

import kotlinx.serialization.Serializable

/**
 * Tells that a stream of [model] had [millis] between its events on [endpoint]. A router of a large fleet sees too few
 * streams of each endpoint to learn all speeds by itself.
 */
@Serializable
internal data class PaceAnnouncement(
    val endpoint: String,
    val model: String,
    val millis: Double,
)
