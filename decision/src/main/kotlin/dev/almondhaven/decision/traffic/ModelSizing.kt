package dev.almondhaven.decision.traffic

/**
 * Chooses the model of a request whose caller leaves it open: the smallest first, and a larger one after an answer of low
 * confidence. A small model reads several times faster and costs a fraction, so that an answer that is dropped before
 * the caller has received any of it costs little beside one of the largest model.
 *
 * Confidence falls with the hardness of a request. An answer just below the bound is likely within reach of the next
 * larger model; further below only the largest will do. Where that one could not begin in time, the next larger one is
 * tried first: an answer of high confidence that is on time is worth more than a late one.
 */
public class ModelSizing(
    private val leastConfidence: Int = LEAST_CONFIDENCE,
    private val nextConfidence: Int = NEXT_CONFIDENCE,
) {
    /**
     * The first model to ask. Where the largest one can begin within [objectiveMillis] only if it is asked at once, it is:
     * such a prompt is among the largest, and a late answer to it costs more than the model.
     */
    public fun first(
        models: List<String>,
        objectiveMillis: Long,
        expectedMillis: (String) -> Double,
    ): String {
        val alone = expectedMillis(models.last())
        if (alone < objectiveMillis * SHORT) return models.first()
        val afterSmallest = alone + expectedMillis(models.first())
        return if (alone < objectiveMillis * SURE &&
            afterSmallest >= objectiveMillis * SURE
        ) {
            models.last()
        } else {
            models.first()
        }
    }

    /**
     * The model to ask instead of going on with an answer of [model], or null to go on. [inTime] tells whether a model
     * could begin its answer within the latency objective.
     */
    public fun instead(
        models: List<String>,
        model: String,
        confidence: Int?,
        inTime: (String) -> Boolean,
    ): String? {
        if (model == models.last() || confidence == null || confidence >= leastConfidence) return null
        val next = models[models.indexOf(model) + 1]
        val close = confidence >= nextConfidence
        return if (next != models.last() && (close || (!inTime(models.last()) && inTime(next)))) next else models.last()
    }

    public companion object {
        /** Prompts that take less of the objective than this need no further look. */
        private const val SHORT = 0.5

        /** Expected times below this part of the objective are kept nearly always. */
        private const val SURE = 0.95

        /** Answers below this confidence are more often wrong than right. */
        public const val LEAST_CONFIDENCE: Int = 60

        /** Down to here the next larger model is right more often than not. */
        public const val NEXT_CONFIDENCE: Int = 45
    }
}
