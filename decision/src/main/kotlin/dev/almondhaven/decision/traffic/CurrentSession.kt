package dev.almondhaven.decision.traffic

/**
 * A session whose next request belongs with its last one.
 *
 * @property version the version that ran it last.
 * @property running whether a run goes on.
 */
public data class CurrentSession(
    public val id: String,
    public val version: String,
    public val running: Boolean,
)
