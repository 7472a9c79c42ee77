package dev.almondhaven.experiments.distribution

import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the cost of group membership per router for several fleet sizes. */
internal class MembershipExperiment : Experiment {
    override val name = "membership"
    override val about = "Bytes, messages and processor time per router for membership at 5, 50 and 370 routers."

    override fun run(report: ExperimentReport) {
        report.text(
            "Routers' decisions over the real codec with signatures, in virtual time, on one thread. Bytes are " +
                "those of the bodies (gzip above 4 KB, as sent), out and in together; the last column adds " +
                "$HEADER_BYTES bytes a message for the HTTP headers, an estimate. Processor time covers codec, " +
                "signatures and decisions, not the HTTP library. Target per router for all control: 15,000 B/s, " +
                "2.9% of a core.",
        )
        report.table(
            "Cost per router",
            listOf(
                "routers",
                "load",
                "messages/s",
                "body B/s",
                "B/s with headers",
                "processor %",
                "agreed after start (s)",
            ),
            SIZES.flatMap { measure(it) },
        )
    }

    private fun measure(size: Int): List<List<String>> {
        val fleet = FleetMeasurement(size)
        val settled =
            fleet.startAndConverge()?.let { number(it.toDouble(DurationUnit.SECONDS), 0) } ?: "not within 300 s"
        fleet.run(WARM_UP)
        val quiet = row(size, "quiet", fleet.measureCost(SPAN), settled)
        val changes = fleet.measureCostOfPublishing(SPAN, PUBLISHING_INTERVAL)
        return listOf(quiet, row(size, "a note every ${PUBLISHING_INTERVAL.inWholeSeconds} s", changes, "-"))
    }

    private fun row(
        size: Int,
        load: String,
        cost: FleetCost,
        settled: String,
    ): List<String> =
        listOf(
            "$size",
            load,
            number(cost.messagesPerRouterSecond, 1),
            number(cost.bodyBytesPerRouterSecond, 0),
            number(cost.bodyBytesPerRouterSecond + cost.messagesPerRouterSecond * HEADER_BYTES, 0),
            number(cost.cpuShare * PERCENT, 3),
            settled,
        )

    private companion object {
        const val HEADER_BYTES = 250
        const val PERCENT = 100
        val SIZES = listOf(5, 50, 370)
        val WARM_UP: Duration = 60.seconds
        val SPAN: Duration = 78.seconds
        val PUBLISHING_INTERVAL: Duration = 26.seconds
    }
}
