package dev.almondhaven.decision.choice

/** How sure an engine was of its own answer, from its finish reason and its mean log-probability per token. */
public enum class ConfidenceBand {
    /** Cut off at the token limit, or empty. */
    INCOMPLETE,
    LOW,

    /** Also an answer that carries no log-probabilities. */
    MEDIUM,
    HIGH,
    ;

    public companion object {
        private const val LOW_BELOW = -0.7
        private const val HIGH_FROM = -0.25

        /** Every band, lowest first; a list that is allocated once. */
        public val ALL: List<ConfidenceBand> = entries.toList()

        /** The band of a [complete] answer with this [meanLogProbability], null when the engine sent none. */
        public fun of(
            complete: Boolean,
            meanLogProbability: Double?,
        ): ConfidenceBand =
            when {
                !complete -> INCOMPLETE
                meanLogProbability == null -> MEDIUM
                meanLogProbability < LOW_BELOW -> LOW
                meanLogProbability >= HIGH_FROM -> HIGH
                else -> MEDIUM
            }
    }
}
