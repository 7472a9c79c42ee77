package dev.almondhaven.decision.traffic

/**
 * Chooses the model of a request whose caller leaves it open: the smallest first, and a larger one after an answer of low
 * confidence. A small model reads several times faster and costs a fraction, so that an answer that is dropped before
 * the caller has received any of it costs little beside one of the largest model.
 *
 * Confidence falls with the hardness of a request. An answer just below the bound is likely within reach of the next
 * larger model; further below only the largest will do. Where that one could not begin in time, the next larger one is
 * tried first: an answer of high confidence that is on time is worth more than a late one.
 *
 * Answers the load pattern of a burst or a loss of engines: every answer of the largest model takes the reading time of
 * ten small ones, and once all engines are busy it makes the answers of others late. Then another model is asked only
 * where it can begin within a part of the time left that grows with the doubt in the answer at hand; the rest keep it.
 */
public class ModelCascade(
    private val leastConfidence: Int = LEAST_CONFIDENCE,
    private val nextConfidence: Int = NEXT_CONFIDENCE,
) {
    /**
     * The first model to ask. Where the largest one can begin within [objectiveMillis] only if it is asked at once, it is:
     * such a prompt is among the largest, and a late answer to it costs more than the model.
     */
    public fun firstModel(
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

    /** The model to ask instead of going on with an answer of [model], or null to go on. */
    public fun escalationTarget(
        models: List<String>,
        model: String,
        confidence: Int?,
        outlook: EscalationConditions,
    ): String? {
        if (model == models.last() || confidence == null || confidence >= leastConfidence) return null
        val next = models[models.indexOf(model) + 1]
        val preferred = if (confidence >= nextConfidence || prefersNext(models, next, outlook)) next else models.last()
        return listOf(preferred, next).firstOrNull { worthWaitingFor(it, confidence, outlook) }
    }

    private fun prefersNext(
        models: List<String>,
        next: String,
        outlook: EscalationConditions,
    ): Boolean =
        outlook.expectedFirstTokenMillis(models.last()) >= outlook.remainingMillis &&
            outlook.expectedFirstTokenMillis(next) < outlook.remainingMillis

    /**
     * Whether an answer of [model] is likely worth more than the one at hand: a late answer is worth little beside one that
     * may be right, and while engines are busy the less the answer at hand is worth, the longer it pays to wait.
     */
    private fun worthWaitingFor(
        model: String,
        confidence: Int,
        outlook: EscalationConditions,
    ): Boolean {
        val expected = outlook.expectedFirstTokenMillis(model)
        if (expected >= outlook.remainingMillis && confidence >= HOPELESS_CONFIDENCE) return false
        return outlook.prefillBacklogMillis < CALM_BACKLOG_MILLIS ||
            expected < outlook.remainingMillis * soon(confidence)
    }

    private fun soon(confidence: Int): Double = LEAST_SOON + (MOST_SOON - LEAST_SOON) * (1 - confidence / FULL_DOUBT)

    public companion object {
        /** With less reading waiting at an engine than this, another answer delays nobody much. */
        private const val CALM_BACKLOG_MILLIS = 300.0

        /**
         * Part of the time left within which a model must be expected to begin while engines are busy: the first for an
         * answer just below [LEAST_CONFIDENCE], the second for one of no confidence at all.
         */
        private const val LEAST_SOON = 0.5
        private const val MOST_SOON = 0.9
        private const val FULL_DOUBT = 60.0

        /** An answer below this confidence is right less often than a late one is worth beside one in time. */
        private const val HOPELESS_CONFIDENCE = 25

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
