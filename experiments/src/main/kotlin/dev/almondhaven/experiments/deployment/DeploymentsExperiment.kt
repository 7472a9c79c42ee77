package dev.almondhaven.experiments.deployment

import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import org.HdrHistogram.Histogram
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

/** Runs both sample deployments as real router processes on loopback, under load and [FaultScripts.FULL]. */
public class DeploymentsExperiment : Experiment {
    override val name: String = "deployments"
    override val about: String = "Both sample deployments, five router processes each, through a script of faults."

    override fun run(report: ExperimentReport) {
        report.text(
            "Both deployments at once, five router processes and $CALLERS callers each; the stand-ins' own records " +
                "are the truth.",
        )
        val threads = Executors.newFixedThreadPool(USERS)
        val samples = SampleDeployment.all(File("examples"))
        val results = samples.map { sample -> CompletableFuture.supplyAsync({ execute(sample) }, threads) }
        samples.zip(results).forEach { (sample, result) -> write(report, sample, result.join()) }
    }

    private fun execute(sample: SampleDeployment): DeploymentResult {
        val logs = File(".try/deployments-${sample.name}")
        return DeploymentRun(sample, ProcessRouter.starter(logs), FaultScripts.FULL, CALLERS, SEED).execute()
    }

    private fun write(
        report: ExperimentReport,
        sample: SampleDeployment,
        result: DeploymentResult,
    ) {
        val findings = result.findings.map { listOf(it.promise, "${it.violations.size}") }
        report.table("${sample.name}: promises", listOf("promise", "violations"), findings)
        val examples = result.findings.flatMap { finding -> finding.violations.take(EXAMPLES).map { "- $it" } }
        if (examples.isNotEmpty()) report.text(examples.joinToString("\n"))
        report.table("${sample.name}: unbilled calls", UNBILLED_COLUMNS, unbilledRows(result.observations))
        report.table("${sample.name}: calls", CALL_COLUMNS, CallKind.entries.map { callRow(it, result.observations) })
        report.table("${sample.name}: refusals", listOf("code", "outcome", "calls"), refusals(result.observations))
        val steps = FaultScripts.FULL.steps.map { listOf("${it.at}", it.name) }
        report.table("${sample.name}: script", listOf("at", "what happens"), steps)
    }

    private fun unbilledRows(seen: Observations): List<List<String>> =
        UnbilledCalls.of(seen).map {
            listOf(it.router, "${it.killed}", "${it.calls}", number(it.firstSecond, 1), number(it.lastSecond, 1))
        }

    private fun callRow(
        kind: CallKind,
        seen: Observations,
    ): List<String> {
        val calls = seen.calls.filter { it.kind == kind }
        val latency = Histogram(DIGITS)
        calls.filter { it.end == CallEnd.ANSWERED }.forEach { latency.recordValue(it.millis) }
        val ends = CallEnd.entries.map { end -> "${calls.count { it.end == end }}" }
        val percentiles = listOf(MEDIAN, TAIL).map { number(latency.getValueAtPercentile(it).toDouble(), 0) }
        return listOf(kind.name.lowercase(), "${calls.size}") + ends + percentiles
    }

    private fun refusals(seen: Observations): List<List<String>> =
        seen.calls
            .filter { it.end == CallEnd.REFUSED }
            .groupingBy { "${it.code}" to "${it.outcome?.wireName}" }
            .eachCount()
            .map { (kind, count) -> listOf(kind.first, kind.second, "$count") }
            .sortedBy { it.first() }

    private companion object {
        const val USERS = 2
        const val CALLERS = 60
        const val SEED = 20_261_204L
        const val EXAMPLES = 5
        const val DIGITS = 3
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        val UNBILLED_COLUMNS = listOf("router", "killed", "calls", "first ended at s", "last ended at s")
        val CALL_COLUMNS =
            listOf("kind", "calls") + CallEnd.entries.map { it.name.lowercase() } + listOf("p50 ms", "p99 ms")
    }
}
