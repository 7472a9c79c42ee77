package dev.almondhaven.traffic

/**
 * Prompt parts that crash endpoints when a prompt holds all of them.
 *
 * @property untilMillis Unix time in milliseconds at which the quarantine ends.
 */
public data class PromptQuarantine(
    public val parts: Set<String>,
    public val untilMillis: Long,
) {
    init {
        require(parts.isNotEmpty()) { "parts must not be empty" }
    }

    /** Name that is the same for the same parts in any order. */
    public val name: String get() = parts.sorted().joinToString(".").take(MAX_NAME_CHARACTERS)

    private companion object {
        const val MAX_NAME_CHARACTERS = 200
    }
}
