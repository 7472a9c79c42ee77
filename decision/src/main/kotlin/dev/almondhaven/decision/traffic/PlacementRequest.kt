package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart

/**
 * The properties of a request that determine its placement.
 *
 * @property model empty for plain services.
 * @property transferBytes bytes of the request and its expected answer.
 * @property affinity key of the shared prompt prefix, equal for all requests that share it; null if nothing is shared.
 */
public data class PlacementRequest(
    public val model: String,
    public val promptTokens: Int,
    public val promptParts: List<PromptPart>,
    public val affinity: String?,
    public val transferBytes: Int = 0,
)
