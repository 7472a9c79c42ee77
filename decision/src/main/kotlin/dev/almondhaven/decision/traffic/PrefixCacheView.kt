package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart

/**
 * The prompt parts that one endpoint is believed to have read for each model, from what this router has sent to it. Parts
 * count only while all parts before them are kept too. The least recently used ones yield. Not safe for use from several
 * threads.
 */
public class PrefixCacheView(
    private val maximumTokens: Long,
) {
    private data class Entry(
        val model: String,
        val part: String,
    )

    private val tokens = LinkedHashMap<Entry, Int>(INITIAL_ENTRIES, LOAD_FACTOR, true)
    private var held = 0L

    /** Tokens at the head of [parts] that need not be read again. */
    public fun cachedTokens(
        model: String,
        parts: List<PromptPart>,
    ): Int {
        var sum = 0
        for (part in parts) {
            if (Entry(model, part.id) !in tokens) return sum
            sum += part.tokens
        }
        return sum
    }

    /** Notes that the endpoint has read [parts]. */
    public fun recordPrefill(
        model: String,
        parts: List<PromptPart>,
    ) {
        // The first part is touched last, so that it yields last.
        parts.asReversed().forEach { part ->
            val before = tokens.put(Entry(model, part.id), part.tokens)
            held += part.tokens - (before ?: 0)
        }
        val oldest = tokens.entries.iterator()
        while (held > maximumTokens && oldest.hasNext()) {
            held -= oldest.next().value
            oldest.remove()
        }
    }

    /** Forgets everything: the endpoint has started anew. */
    public fun clear() {
        tokens.clear()
        held = 0
    }

    private companion object {
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f
    }
}
