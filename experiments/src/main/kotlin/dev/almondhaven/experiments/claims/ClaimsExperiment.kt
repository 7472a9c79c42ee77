package dev.almondhaven.experiments.claims

import dev.almondhaven.decision.claim.ClaimPlacement
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.PlotPoint
import dev.almondhaven.experiments.PlotSeries

/** Measures platform writes, latency, bytes and outage recovery of idempotency claims in virtual time. */
internal class ClaimsExperiment : Experiment {
    override val name = "claims"
    override val about = "Platform writes for claims and billing against the request rate, latency, recovery, bytes."

    override fun run(report: ExperimentReport) {
        report.text(
            "Virtual time; 370 routers, the real shard writers, call budgets and circuit breakers. The " +
                "platform answers in 5 ms. Of the requests 5% are non-idempotent, take 300 ms on average " +
                "(exponential) and have answers of 200 bytes. All writes are claims, billing (one writer for " +
                "each of 6 failure domains, one write a second) and the deletion of expired shards.",
        )
        reportByRequestRate(report)
        reportByOwnerShare(report)
        reportRecovery(report)
    }

    private fun reportByRequestRate(report: ExperimentReport) {
        val timestampedResults = RATES.associateWith { ClaimLoad(ClaimLoadPlan(it * NON_IDEMPOTENT_SHARE)).run() }
        report.table(
            "Against the request rate, keys that are version 7 UUIDs",
            COLUMNS,
            timestampedResults.map { row(it) },
        )
        report.plot(
            "writes",
            "Platform writes a second",
            "requests/s",
            "writes/s",
            listOf(
                PlotSeries(
                    "claims",
                    timestampedResults.map { (rate, result) ->
                        PlotPoint(rate, writesPerSecond(result))
                    },
                ),
                PlotSeries("all", timestampedResults.map { (rate, result) -> PlotPoint(rate, allWrites(result)) }),
            ),
        )
        val otherResults =
            RATES.associateWith {
                ClaimLoad(ClaimLoadPlan(it * NON_IDEMPOTENT_SHARE, hasTimestampedKeys = false)).run()
            }
        report.table("Against the request rate, keys of any other form", COLUMNS, otherResults.map { row(it) })
    }

    private fun row(entry: Map.Entry<Double, ClaimLoadResult>): List<String> {
        val (rate, result) = entry
        return listOf(
            number(rate, 0),
            number(writesPerSecond(result), 1),
            number(allWrites(result), 1),
            number(result.writesBySecond.sum().toDouble() / result.claims, 2),
            number(allWrites(result) / rate, 4),
            number(result.latencyMicros.getValueAtPercentile(P50) / MICROS_PER_MILLI, 1),
            number(result.latencyMicros.getValueAtPercentile(P99) / MICROS_PER_MILLI, 1),
            number(result.bytesPerClaim, 0),
            "${result.largestObject}",
            number(result.bytesWritten / SECONDS / BYTES_PER_KILOBYTE, 1),
        )
    }

    private fun reportByOwnerShare(report: ExperimentReport) {
        val rows =
            listOf(1.0, 0.9, 0.5).map { ownerShare ->
                val result = ClaimLoad(ClaimLoadPlan(PEAK_RATE * NON_IDEMPOTENT_SHARE, ownerShare = ownerShare)).run()
                listOf(number(ownerShare * PERCENT, 0)) + row(mapOf(PEAK_RATE to result).entries.first()).drop(1)
            }
        report.table(
            "Part of the operations that reach the shard's owner, at 4,200 requests/s",
            listOf("% reached") + COLUMNS.drop(1),
            rows,
        )
    }

    private fun reportRecovery(report: ExperimentReport) {
        val outage = 30..59
        val result = ClaimLoad(ClaimLoadPlan(PEAK_RATE * NON_IDEMPOTENT_SHARE, outage = outage, seconds = 180)).run()
        val after = result.writesBySecond.drop(outage.last + 1)
        val claimRate = PEAK_RATE * NON_IDEMPOTENT_SHARE
        val calls = outage.map { result.writesBySecond[it] + result.readsBySecond[it] }.average()
        val caughtUp = (outage.last + 1..179).firstOrNull { result.settledBySecond[it] >= claimRate * CAUGHT_UP_SHARE }
        report.table(
            "An outage of 30 s at 4,200 requests/s",
            listOf("what", "value"),
            listOf(
                listOf("calls a second in the outage", number(calls, 1)),
                listOf("most writes in one second after it", "${after.max()}"),
                listOf("most reads in one second after it", "${result.readsBySecond.drop(outage.last + 1).max()}"),
                listOf("seconds until claims settle at the arrival rate", "${caughtUp?.let { it - outage.last }}"),
            ),
        )
    }

    private fun writesPerSecond(result: ClaimLoadResult) = result.writesBySecond.sum() / SECONDS

    private fun allWrites(result: ClaimLoadResult) =
        writesPerSecond(result) + BILLING_WRITES_PER_SECOND + SHARD_DELETIONS_PER_SECOND

    private fun number(
        value: Double,
        digits: Int,
    ) = ExperimentReport.number(value, digits)

    private companion object {
        val RATES = listOf(5.0, 50.0, 500.0, 1_000.0, 2_000.0, 4_200.0)
        val COLUMNS =
            listOf(
                "requests/s",
                "claim writes/s",
                "all writes/s",
                "writes per claim",
                "writes per billed request",
                "added p50 ms",
                "added p99 ms",
                "bytes per claim",
                "largest object",
                "KB/s written",
            )
        const val PEAK_RATE = 4_200.0
        const val NON_IDEMPOTENT_SHARE = 0.05
        const val SECONDS = 120.0
        const val BILLING_WRITES_PER_SECOND = 6.0
        const val MICROS_PER_MILLI = 1_000.0
        const val P50 = 50.0
        const val P99 = 99.0
        const val BYTES_PER_KILOBYTE = 1_000.0
        const val PERCENT = 100.0
        const val CAUGHT_UP_SHARE = 0.9
        val SHARD_DELETIONS_PER_SECOND =
            ClaimPlacement.SHARDS_PER_PERIOD / (ClaimPlacement.PERIOD.inWholeMilliseconds / 1_000.0)
    }
}
