package dev.almondhaven.decision.traffic

/**
 * A session whose next request belongs with its last one.
 *
 * @property version the version that ran it last.
 * @property isRunning whether a run goes on.
 */
public data class ActiveSession(
    public val id: String,
    public val version: String,
    public val isRunning: Boolean,
)
