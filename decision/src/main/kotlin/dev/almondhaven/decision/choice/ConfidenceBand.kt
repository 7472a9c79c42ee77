package dev.almondhaven.decision.choice

/** A model's confidence in its own answer, derived from the finish reason and the mean log-probability per token. */
public enum class ConfidenceBand {
    /** The answer was cut off at the token limit, or is empty. */
    INCOMPLETE,
    LOW,

    /** Medium confidence, or an answer without log-probabilities. */
    MEDIUM,
    HIGH,
    ;

    public companion object {
        private const val LOW_UPPER_BOUND = -0.7
        private const val HIGH_LOWER_BOUND = -0.25

        /** All bands, lowest first. Unlike `values()`, the list is allocated only once. */
        public val ALL: List<ConfidenceBand> = entries.toList()

        /** The band of an answer; [meanLogProbability] is null if the engine sent no log-probabilities. */
        public fun of(
            complete: Boolean,
            meanLogProbability: Double?,
        ): ConfidenceBand =
            when {
                !complete -> INCOMPLETE
                meanLogProbability == null -> MEDIUM
                meanLogProbability < LOW_UPPER_BOUND -> LOW
                meanLogProbability >= HIGH_LOWER_BOUND -> HIGH
                else -> MEDIUM
            }
    }
}
