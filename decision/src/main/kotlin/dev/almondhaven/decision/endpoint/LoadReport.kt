package dev.almondhaven.decision.endpoint

import kotlin.time.Duration

/**
 * An endpoint's report of its own load.
 *
 * @property startId identifies the start of the endpoint's process; differs after each restart.
 * @property running requests that the endpoint is running.
 * @property waiting requests in the endpoint's queue.
 * @property slots requests that the endpoint can run concurrently when warm.
 * @property uptime time since the process started; null if the endpoint doesn't report it.
 */
public data class LoadReport(
    public val startId: String,
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val uptime: Duration? = null,
)

/**
 * A load report together with the number of requests that this router had in flight when it accepted the report.
 *
 * @property takenAt monotonic time in nanoseconds, no later than the moment that the report describes.
 */
internal data class ReceivedReport(
    val report: LoadReport,
    val takenAt: Long,
    val ownInFlight: Int,
) {
    /** Requests in the report that belong to other routers. */
    val others: Int get() = maxOf(0, report.running + report.waiting - ownInFlight)
}
