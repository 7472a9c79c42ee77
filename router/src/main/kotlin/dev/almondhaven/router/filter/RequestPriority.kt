package dev.almondhaven.router.filter

import dev.almondhaven.decision.limit.Priority

/** The priority that a caller gave its request. */
internal object RequestPriority {
    private const val HEADER = "x-priority"

    /** The value of `x-priority`: `high`, `normal` or `low`; anything else is normal. */
    fun of(exchange: Exchange): Priority {
        val text = exchange.headers.get(HEADER) ?: return Priority.NORMAL
        return Priority.entries.firstOrNull { it.name.equals(text, ignoreCase = true) } ?: Priority.NORMAL
    }
}
