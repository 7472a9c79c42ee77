package dev.almondhaven.router.filter

import dev.almondhaven.decision.limit.Priority

/** Reads the scheduling priority of a request. */
internal object RequestPriority {
    private const val HEADER = "x-priority"

    /** The priority in the `x-priority` header: `high`, `normal` or `low`. Anything else counts as normal. */
    fun of(exchange: Exchange): Priority {
        val text = exchange.headers.get(HEADER) ?: return Priority.NORMAL
        return Priority.entries.firstOrNull { it.name.equals(text, ignoreCase = true) } ?: Priority.NORMAL
    }
}
