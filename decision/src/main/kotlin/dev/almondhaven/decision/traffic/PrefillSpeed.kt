package dev.almondhaven.decision.traffic

/**
 * How long the engines of a service read prompts, learned from answers: the smallest time to the first event for each
 * token that had to be read. One estimate for each model, since larger ones are slower. Not safe for use from several
 * threads.
 */
public class PrefillSpeed {
    private val millisPerToken = HashMap<String, Double>()

    /** Milliseconds that [model] takes to read [tokens]. */
    public fun estimateMillis(
        model: String,
        tokens: Int,
    ): Double = weighted(tokens) * (millisPerToken[model] ?: UNKNOWN_MILLIS_PER_TOKEN)

    /** Notes that [tokens] unread tokens took [millis] to the first event. */
    public fun record(
        model: String,
        tokens: Int,
        millis: Double,
    ) {
        if (tokens < FEWEST_TOKENS) return
        val seen = millis / weighted(tokens)
        val held = millisPerToken[model]
        millisPerToken[model] =
            if (held ==
                null
            ) {
                minOf(seen, UNKNOWN_MILLIS_PER_TOKEN)
            } else {
                held + (seen - held) * if (seen < held) FALL else RISE
            }
    }

    /** Reading grows with the square of the prompt where attention outweighs the rest of the model. */
    private fun weighted(tokens: Int): Double = tokens * (1 + tokens / ATTENTION_TOKENS)

    private companion object {
        /** Fixed costs dominate shorter prompts. */
        const val FEWEST_TOKENS = 500

        /** A 70-billion-parameter model reads about 20 tokens a millisecond or somewhat less. */
        const val UNKNOWN_MILLIS_PER_TOKEN = 0.06

        /** Length at which attention takes as long as the rest of a model of that size. */
        const val ATTENTION_TOKENS = 100_000.0

        /** Waiting only ever adds, so what is seen below the estimate counts, and what is above hardly does. */
        const val FALL = 0.5
        const val RISE = 0.002
    }
}
