package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/** Whether a request may be sent, given what is known of the parts of its prompt. */
public sealed interface PromptAdmission {
    /** Nothing is known against the prompt. */
    public data object Admitted : PromptAdmission

    /** Wait: another request with the same suspected parts probes them, and its outcome will decide. */
    public data object Deferred : PromptAdmission

    /**
     * The prompt holds all of [parts], which crash endpoints.
     *
     * @property remaining time until the quarantine ends.
     */
    public data class Quarantined(
        public val parts: Set<String>,
        public val remaining: Duration,
    ) : PromptAdmission
}
