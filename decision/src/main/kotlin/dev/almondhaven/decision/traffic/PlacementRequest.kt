package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart

/**
 * What placing needs to know of a request.
 *
 * @property model empty for plain services.
 * @property affinity requests with the same text share parts of their prompts; null if nothing is shared.
 */
public data class PlacementRequest(
    public val model: String,
    public val promptTokens: Int,
    public val promptParts: List<PromptPart>,
    public val affinity: String?,
)
