package dev.almondhaven.decision.traffic

/**
 * Estimates how long the engines of a service take to prefill a prompt. It learns from the time to the first event of
 * their responses, per uncached prompt token, and tracks the lowest values, which contain the least queueing. Each
 * model has its own estimate, since larger models are slower. Not thread-safe.
 */
public class PrefillSpeed {
    private val millisPerToken = HashMap<String, Double>()

    /** Estimated milliseconds that [model] takes to prefill [tokens] uncached tokens. */
    public fun estimateMillis(
        model: String,
        tokens: Int,
    ): Double = weightedTokens(tokens) * (millisPerToken[model] ?: DEFAULT_MILLIS_PER_TOKEN)

    /** Records that a request with [tokens] uncached prompt tokens took [millis] to its first event. */
    public fun record(
        model: String,
        tokens: Int,
        millis: Double,
    ) {
        if (tokens < MINIMUM_TOKENS) return
        val sample = millis / weightedTokens(tokens)
        val estimate = millisPerToken[model]
        millisPerToken[model] =
            if (estimate == null) {
                minOf(sample, DEFAULT_MILLIS_PER_TOKEN)
            } else {
                estimate + (sample - estimate) * if (sample < estimate) DECREASE_WEIGHT else INCREASE_WEIGHT
            }
    }

    /** Prefill time grows with the square of the prompt length where attention outweighs the rest of the model. */
    private fun weightedTokens(tokens: Int): Double = tokens * (1 + tokens / ATTENTION_TOKENS)

    private companion object {
        /** Fixed costs dominate shorter prompts. */
        const val MINIMUM_TOKENS = 500

        /** A 70-billion-parameter model prefills about 20 tokens per millisecond or somewhat fewer. */
        const val DEFAULT_MILLIS_PER_TOKEN = 0.06

        /** Prompt length at which attention takes as long as the rest of a model of that size. */
        const val ATTENTION_TOKENS = 100_000.0

        /** Queueing only ever adds time, so a sample below the estimate counts and one above it hardly does. */
        const val DECREASE_WEIGHT = 0.5
        const val INCREASE_WEIGHT = 0.002
    }
}
