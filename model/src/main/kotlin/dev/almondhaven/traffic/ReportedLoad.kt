package dev.almondhaven.traffic

/**
 * An endpoint's own count of its requests, a few hundred milliseconds old.
 *
 * @property slots number of requests that can run concurrently.
 * @property machinePercent how long work takes on the endpoint's machine at the moment, in per cent of the usual; null if
 * not stated.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val machinePercent: Int? = null,
)
