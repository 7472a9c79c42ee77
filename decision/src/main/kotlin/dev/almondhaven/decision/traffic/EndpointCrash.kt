package dev.almondhaven.decision.traffic

import dev.almondhaven.model.EndpointId

/** Identifies the crash of one process of an endpoint. */
internal data class EndpointCrash(
    val endpoint: EndpointId,
    val startedAtMillis: Long,
)
