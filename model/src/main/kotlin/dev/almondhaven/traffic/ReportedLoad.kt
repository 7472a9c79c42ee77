package dev.almondhaven.traffic

/**
 * An endpoint's own count of its requests, some hundred milliseconds old.
 *
 * @property slots requests that can run at once.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
)
