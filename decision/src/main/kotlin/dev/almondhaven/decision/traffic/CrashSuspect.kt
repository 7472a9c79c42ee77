package dev.almondhaven.decision.traffic

/**
 * Prompt parts that may crash endpoints when a prompt holds all of them.
 *
 * @property parts never empty while the suspect is kept.
 * @property isNarrowed whether [parts] are only what different prompts have in common, which may be a part in common use.
 * @property priorBlame blame that is known without the crashes behind it.
 */
internal class CrashSuspect(
    var parts: Set<String>,
    val isNarrowed: Boolean,
    val priorBlame: Double = 0.0,
) {
    /**
     * The crashes that requests with all the parts met one after the other. The value is true if the response to one of
     * them had started.
     */
    val crashes = LinkedHashMap<EndpointCrash, Boolean>()

    /** Monotonic time in nanoseconds. */
    var lastCrashAt = 0L

    /** The request whose outcome others with these parts wait for; null if none may be sent. */
    var probe: String? = null

    /** Monotonic time in nanoseconds from which the outcome is awaited. */
    var probedSince = 0L

    /** Monotonic time in nanoseconds; null while it is only suspected. */
    var quarantinedUntil: Long? = null

    val isQuarantined: Boolean get() = quarantinedUntil != null

    /** Answers to other prompts since the first crash. */
    var answersWithout = 0

    /** Crashes for which this suspect may be to blame without being quarantined. */
    val maxBlame: Double
        get() = if (isNarrowed && answersWithout < MIN_ANSWERS_WITHOUT) MAX_BLAME_OF_COMMON_PART else MAX_BLAME

    private companion object {
        /** More than one whole crash: a request may meet one by chance, and be on its way to a second endpoint. */
        const val MAX_BLAME = 1.25

        /** Prompts of different causes may have a common part, which is answered before a third crash. */
        const val MAX_BLAME_OF_COMMON_PART = 2.25

        /** A part in common use is in one of so many prompts that are answered. */
        const val MIN_ANSWERS_WITHOUT = 10
    }
}
