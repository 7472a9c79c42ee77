package dev.almondhaven.experiments.distribution

import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the time until a published configuration is in force on every router, and the platform calls it takes. */
internal class DistributionExperiment : Experiment {
    override val name = "configuration-distribution"
    override val about = "Time to in force and platform calls against fleet size, with and without a platform outage."

    private class Variant(
        val name: String,
        val plan: WatchPlan,
    )

    private val variants =
        listOf(
            Variant("every router watches", WatchPlan(fullWatchFleetSize = Int.MAX_VALUE)),
            Variant("two watchers a domain", WatchPlan()),
        )

    override fun run(report: ExperimentReport) {
        report.text(
            "Routers' decisions (membership, gossip, watch schedule) over the real codec with signatures, in virtual " +
                "time: one-way delay 1 to 3 ms, ticks of 100 ms, platform latency 3 ms, a catalogue of 14 endpoints " +
                "at 5 routers and of 780 above. $NOTES notes at 0.5 to 5.5 s from each other, each measured at every " +
                "router. Processing time on the routers isn't in the virtual time. Up to 8 routers every one watches.",
        )
        val rows = SIZES.flatMap { size -> variants.map { measurePublishing(size, it) } }
        report.table(
            "Time to in force (ms) and platform calls",
            listOf("routers", "who watches", "p50", "p99", "max", "calls/s, quiet", "calls/s, publishing"),
            rows,
        )
        report.table(
            "A platform outage of ${OUTAGE.inWholeSeconds} s, with a tenth of the fleet restarted in it",
            listOf(
                "routers",
                "who watches",
                "calls/s in the outage",
                "calls/s in the first 10 s after",
                "agree after (s)",
            ),
            SIZES.flatMap { size -> variants.map { measureOutage(size, it) } },
        )
    }

    private fun measurePublishing(
        size: Int,
        variant: Variant,
    ): List<String> {
        val fleet = FleetMeasurement(size, variant.plan)
        fleet.startAndConverge()
        fleet.run(10.seconds)
        val quiet = fleet.measureCost(QUIET).platformCallsPerSecond
        var times = Histogram(1)
        val publishing = fleet.callsDuring { times = fleet.timesToInForce(NOTES) }
        return listOf("$size", variant.name) +
            listOf(times.getValueAtPercentile(50.0), times.getValueAtPercentile(99.0), times.maxValue)
                .map { number(it / MICROS_PER_MILLISECOND, 0) } +
            listOf(number(quiet), number(publishing))
    }

    private fun measureOutage(
        size: Int,
        variant: Variant,
    ): List<String> {
        val fleet = FleetMeasurement(size, variant.plan)
        fleet.startAndConverge()
        fleet.setOutage(true)
        val half = OUTAGE / 2
        val before = fleet.measureCost(half).platformCallsPerSecond
        fleet.restart(maxOf(1, size / 10))
        val after = fleet.measureCost(half).platformCallsPerSecond
        fleet.setOutage(false)
        val recovery = fleet.measureCost(RECOVERY).platformCallsPerSecond
        fleet.publishOne()
        val agreed =
            fleet.awaitConvergence()?.let { number(it.toDouble(DurationUnit.SECONDS), 1) } ?: "not within 300 s"
        return listOf("$size", variant.name, number((before + after) / 2), number(recovery), agreed)
    }

    private companion object {
        const val NOTES = 30
        const val MICROS_PER_MILLISECOND = 1_000.0
        val SIZES = listOf(5, 50, 370)
        val QUIET: Duration = 60.seconds
        val OUTAGE: Duration = 120.seconds
        val RECOVERY: Duration = 10.seconds
    }
}
