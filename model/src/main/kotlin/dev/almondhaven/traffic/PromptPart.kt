package dev.almondhaven.traffic

/**
 * A segment of a prompt that several requests may share.
 *
 * @property tokens length of the segment in tokens.
 */
public data class PromptPart(
    public val id: String,
    public val tokens: Int,
)
