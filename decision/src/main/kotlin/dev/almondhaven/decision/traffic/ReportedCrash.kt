package dev.almondhaven.decision.traffic

/**
 * A crash and the reports of it that have arrived.
 *
 * @property since monotonic time in nanoseconds of the first report.
 */
internal class ReportedCrash(
    val since: Long,
) {
    val reports = ArrayList<CrashReport>()

    operator fun contains(request: String): Boolean = reports.any { it.request == request }
}
