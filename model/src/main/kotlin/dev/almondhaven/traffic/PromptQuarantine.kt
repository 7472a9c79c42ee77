package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * Prompt parts that crash endpoints when a prompt holds all of them.
 *
 * @property remaining time that was left of the quarantine when it was stored; a router that hears of it later can't tell how
 *   much has passed since.
 */
public data class PromptQuarantine(
    public val parts: Set<String>,
    public val remaining: Duration,
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
