package dev.almondhaven.decision.traffic

/**
 * Chooses the model of a request whose caller leaves it open: the smallest first, and the largest after an answer of low
 * confidence. A small model reads several times faster and costs a fraction, so that an answer that is dropped before the
 * caller has received any of it costs little beside one of the largest model.
 */
public class ModelSizing(
    private val leastConfidence: Int = LEAST_CONFIDENCE,
) {
    /** The first model to ask. */
    public fun first(models: List<String>): String = models.first()

    /** The model to ask instead of going on with an answer of [model], or null to go on. */
    public fun instead(
        models: List<String>,
        model: String,
        confidence: Int?,
    ): String? =
        if (model == models.last() || confidence == null ||
            confidence >= leastConfidence
        ) {
            null
        } else {
            models.last()
        }

    public companion object {
        /** Answers below this confidence are more often wrong than right. */
        public const val LEAST_CONFIDENCE: Int = 60
    }
}
