package dev.almondhaven.traffic

/**
 * An endpoint's own count of its requests, a few hundred milliseconds old.
 *
 * @property slots number of requests that can run concurrently.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
)
