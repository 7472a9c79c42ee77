package dev.almondhaven.traffic

/**
 * A part of a prompt that several requests may share.
 *
 * @property tokens its length.
 */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)
