package dev.almondhaven.decision.traffic

/**
 * Chooses the model of a request whose caller leaves the choice open: first the smallest model, and a larger one if
 * the answer has low confidence. A small model prefills several times faster and costs a fraction of the largest one,
 * so discarding its answer before the caller has received any of it costs little.
 *
 * Confidence falls as requests get harder. An answer just below the acceptance threshold is likely within reach of
 * the next larger model; far below it only the largest model will do. If the largest model could not begin in time,
 * the next larger one is tried first, since an answer of high confidence that is in time is worth more than a late
 * one.
 *
 * During a burst or after a loss of engines, escalation itself is the danger: a prefill of the largest model takes as
 * long as ten of a small one, and once all engines are busy it delays the answers of other requests. A request is
 * then escalated only if the other model can begin within a fraction of the remaining time, a fraction that grows as
 * the confidence of the present answer falls. The other requests keep their answers.
 */
public class ModelCascade(
    private val acceptedConfidence: Int = ACCEPTED_CONFIDENCE,
    private val nextModelConfidence: Int = NEXT_MODEL_CONFIDENCE,
) {
    /**
     * The first of [models], ordered by size, to ask. This is the largest one if it can begin within
     * [objectiveMillis] only when asked at once: such a prompt is among the longest, and a late answer costs more
     * than the large model.
     */
    public fun firstModel(
        models: List<String>,
        objectiveMillis: Long,
        expectedFirstTokenMillis: (String) -> Double,
    ): String {
        val largestAlone = expectedFirstTokenMillis(models.last())
        if (largestAlone < objectiveMillis * SHORT_PREFILL_FRACTION) return models.first()
        val largestAfterSmallest = largestAlone + expectedFirstTokenMillis(models.first())
        return if (largestAlone < objectiveMillis * RELIABLE_FRACTION &&
            largestAfterSmallest >= objectiveMillis * RELIABLE_FRACTION
        ) {
            models.last()
        } else {
            models.first()
        }
    }

    /**
     * The one of [models], ordered by size, to ask if its answer has to stand, because the request may run only once:
     * the largest one that can begin within [objectiveMillis], or else the smallest.
     */
    public fun onlyModel(
        models: List<String>,
        objectiveMillis: Long,
        expectedFirstTokenMillis: (String) -> Double,
    ): String =
        models.lastOrNull { expectedFirstTokenMillis(it) < objectiveMillis * RELIABLE_FRACTION } ?: models.first()

    /** The model to ask in place of [model], whose answer has this [confidence]; null to keep the answer. */
    public fun escalationTarget(
        models: List<String>,
        model: String,
        confidence: Int?,
        conditions: EscalationConditions,
    ): String? {
        if (model == models.last() || confidence == null || confidence >= acceptedConfidence) return null
        val next = models[models.indexOf(model) + 1]
        val nextIsEnough = confidence >= nextModelConfidence || onlyNextIsInTime(models, next, conditions)
        val preferred = if (nextIsEnough) next else models.last()
        return listOf(preferred, next).firstOrNull { isWorthwhile(it, confidence, conditions) }
    }

    private fun onlyNextIsInTime(
        models: List<String>,
        next: String,
        conditions: EscalationConditions,
    ): Boolean =
        conditions.expectedFirstTokenMillis(models.last()) >= conditions.remainingMillis &&
            conditions.expectedFirstTokenMillis(next) < conditions.remainingMillis

    /**
     * Whether an answer of [model] is likely worth more than the present one. A late answer is worth little compared
     * with one that may be right. While engines are busy, a longer wait pays off the less the present answer is
     * worth.
     */
    private fun isWorthwhile(
        model: String,
        confidence: Int,
        conditions: EscalationConditions,
    ): Boolean {
        val expectedMillis = conditions.expectedFirstTokenMillis(model)
        if (expectedMillis >= conditions.remainingMillis && confidence >= LATE_ANSWER_CONFIDENCE) return false
        return conditions.prefillBacklogMillis < LOW_BACKLOG_MILLIS ||
            expectedMillis < conditions.remainingMillis * waitFraction(confidence)
    }

    private fun waitFraction(confidence: Int): Double =
        MINIMUM_WAIT_FRACTION +
            (MAXIMUM_WAIT_FRACTION - MINIMUM_WAIT_FRACTION) * (1 - confidence / MINIMUM_WAIT_CONFIDENCE)

    public companion object {
        /** With less outstanding prefill per engine than this, an escalation hardly delays other requests. */
        private const val LOW_BACKLOG_MILLIS = 300.0

        /**
         * Fraction of the remaining time within which a model must be expected to begin while engines are busy: the
         * minimum for an answer just below [ACCEPTED_CONFIDENCE], the maximum for one of confidence 0.
         */
        private const val MINIMUM_WAIT_FRACTION = 0.5
        private const val MAXIMUM_WAIT_FRACTION = 0.9

        /** Confidence at which the fraction is at its minimum. */
        private const val MINIMUM_WAIT_CONFIDENCE = 60.0

        /** An answer below this confidence is so rarely right that even a late answer is worth more. */
        private const val LATE_ANSWER_CONFIDENCE = 25

        /** Prompts that take less than this fraction of the objective always start with the smallest model. */
        private const val SHORT_PREFILL_FRACTION = 0.5

        /** An expected time below this fraction of the objective is nearly always met. */
        private const val RELIABLE_FRACTION = 0.95

        /** Answers below this confidence are wrong more often than right. */
        public const val ACCEPTED_CONFIDENCE: Int = 60

        /** Down to this confidence the next larger model is right more often than wrong. */
        public const val NEXT_MODEL_CONFIDENCE: Int = 45
    }
}
