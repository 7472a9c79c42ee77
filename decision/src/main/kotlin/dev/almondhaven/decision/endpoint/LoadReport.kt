package dev.almondhaven.decision.endpoint

import kotlin.time.Duration

/**
 * What an endpoint says about itself.
 *
 * @property startId changes whenever the endpoint's process starts.
 * @property running requests that run on it.
 * @property waiting requests that wait on it.
 * @property slots requests that it runs at once when warm.
 * @property uptime time since its start; null when it doesn't say.
 */
public data class LoadReport(
    public val startId: String,
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val uptime: Duration? = null,
)

/**
 * A report together with what this router had in flight when it was made.
 *
 * @property takenAt monotonic nanoseconds, at the latest, of the moment that the report describes.
 */
internal data class ReceivedReport(
    val report: LoadReport,
    val takenAt: Long,
    val ownInFlight: Int,
) {
    /** Requests of other routers at that moment. */
    val others: Int get() = maxOf(0, report.running + report.waiting - ownInFlight)
}
