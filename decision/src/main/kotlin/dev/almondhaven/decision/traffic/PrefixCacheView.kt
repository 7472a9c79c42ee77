package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart

/**
 * This router's estimate of one endpoint's prefix cache, from the prompts that it has sent there. A prompt part
 * counts as cached only if all parts before it are cached too. Least recently used parts are evicted first. Not
 * thread-safe.
 */
public class PrefixCacheView(
    private val maximumTokens: Long,
) {
    private data class Key(
        val model: String,
        val part: String,
    )

    private val tokensByPart = LinkedHashMap<Key, Int>(INITIAL_ENTRIES, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** Tokens at the start of a prompt of [parts] that need no prefill. */
    public fun cachedTokens(
        model: String,
        parts: List<PromptPart>,
    ): Int {
        var sum = 0
        for (part in parts) {
            if (Key(model, part.id) !in tokensByPart) return sum
            sum += part.tokens
        }
        return sum
    }

    /** Records that the endpoint has prefilled a prompt of [parts]. */
    public fun recordPrefill(
        model: String,
        parts: List<PromptPart>,
    ) {
        // The first part is touched last, so that it is evicted last.
        parts.asReversed().forEach { part ->
            val previous = tokensByPart.put(Key(model, part.id), part.tokens)
            totalTokens += part.tokens - (previous ?: 0)
        }
        val leastRecentlyUsed = tokensByPart.entries.iterator()
        while (totalTokens > maximumTokens && leastRecentlyUsed.hasNext()) {
            totalTokens -= leastRecentlyUsed.next().value
            leastRecentlyUsed.remove()
        }
    }

    /** Empties the view after the endpoint restarted. */
    public fun clear() {
        tokensByPart.clear()
        totalTokens = 0
    }

    private companion object {
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f
    }
}
