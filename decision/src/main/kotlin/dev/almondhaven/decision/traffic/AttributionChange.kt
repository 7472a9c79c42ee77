package dev.almondhaven.decision.traffic

/**
 * What an observation has changed in a [CrashAttribution].
 *
 * @property quarantined sets of parts that are quarantined now and were not before.
 * @property lifted sets of parts that are no longer quarantined.
 * @property cleared parts that are no longer suspected.
 */
public data class AttributionChange(
    public val quarantined: List<Set<String>> = emptyList(),
    public val lifted: List<Set<String>> = emptyList(),
    public val cleared: Set<String> = emptySet(),
) {
    public companion object {
        public val NONE: AttributionChange = AttributionChange()
    }
}
