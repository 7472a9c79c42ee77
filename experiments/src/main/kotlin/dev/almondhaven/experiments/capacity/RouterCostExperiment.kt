package dev.almondhaven.experiments.capacity

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.experiments.PlotPoint
import dev.almondhaven.experiments.PlotSeries
import dev.almondhaven.experiments.deployment.DeploymentBench
import dev.almondhaven.experiments.deployment.ProcessRouter
import dev.almondhaven.experiments.deployment.SampleDeployment
import dev.almondhaven.experiments.overhead.ClosedLoopLoad
import dev.almondhaven.standins.EngineBehaviour
import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the CPU time and memory of router processes: idle in fleets of several sizes, and per request and token. */
public class RouterCostExperiment : Experiment {
    override val name: String = "router-cost"
    override val about: String = "Processor time and memory of real router processes: idle, per request, per token."

    override fun run(report: ExperimentReport) {
        val sample = SampleDeployment.all(File("examples")).first()
        reportIdleCost(report, sample)
        reportRequestCost(report, sample)
    }

    private fun reportIdleCost(
        report: ExperimentReport,
        sample: SampleDeployment,
    ) {
        val costs = FLEET_SIZES.map { size -> measureIdleCost(sample, size) }
        val rows =
            costs.map { listOf("${it.routers}", number(it.corePercent, 3), number(it.residentMebibytes, 0)) }
        report.table("A router at rest", listOf("routers", "% of a core each", "resident MiB each"), rows)
        val points = costs.map { PlotPoint(it.routers.toDouble(), it.corePercent) }
        report.plot("idle", "Processor time at rest", "routers", "% of a core", listOf(PlotSeries("router", points)))
        val line = LinearFit.leastSquares(points)
        val extrapolated = number(line.valueAt(TARGET_ROUTERS), 3)
        report.text(
            "Line: ${number(
                line.intercept,
                3,
            )} + ${number(line.slope, 5)} × routers (R² ${number(line.rSquared)}); at " +
                "370 routers $extrapolated % of a core; budget 2.9 %. A JVM's resident memory is mostly its heap limit.",
        )
    }

    private class IdleCost(
        val routers: Int,
        val corePercent: Double,
        val residentMebibytes: Double,
    )

    private fun measureIdleCost(
        sample: SampleDeployment,
        size: Int,
    ): IdleCost =
        DeploymentBench.start(sample, ProcessRouter.starter(LOGS), SEED, size).use { bench ->
            TimeUnit.NANOSECONDS.sleep(SETTLING_TIME.inWholeNanoseconds)
            val processes = bench.processes()
            val before = processes.map { ProcessCost.processorTime(it) }
            TimeUnit.NANOSECONDS.sleep(MEASURED_TIME.inWholeNanoseconds)
            val spent = processes.mapIndexed { index, process -> ProcessCost.processorTime(process) - before[index] }
            IdleCost(
                size,
                spent.map { it / MEASURED_TIME }.average() * PERCENT,
                processes.map { ProcessCost.residentBytes(it) / BYTES_PER_MEBIBYTE }.average(),
            )
        }

    private fun reportRequestCost(
        report: ExperimentReport,
        sample: SampleDeployment,
    ) {
        DeploymentBench.start(sample, ProcessRouter.starter(LOGS), SEED, routers = 1).use { bench ->
            bench.fleet.engines.values
                .forEach { it.behaviour = EngineBehaviour() }
            val costs = TOKENS.map { tokens -> measureRequestCost(bench, tokens) }
            val rows = costs.map { listOf("${it.tokens}", number(it.rate, 0), number(it.micros, 1)) }
            report.table("A streamed answer", listOf("tokens", "requests/s", "router CPU µs per request"), rows)
            val points = costs.map { PlotPoint(it.tokens.toDouble(), it.micros) }
            report.plot("token", "Cost of a streamed answer", "tokens", "µs", listOf(PlotSeries("router", points)))
            extrapolate(report, LinearFit.leastSquares(points))
        }
    }

    private fun extrapolate(
        report: ExperimentReport,
        line: LinearFit,
    ) {
        val perSecond = TARGET_REQUESTS_PER_SECOND * line.intercept + TARGET_TOKENS_PER_SECOND * line.slope
        report.text(
            "Line: ${number(line.intercept, 1)} µs a request + ${number(line.slope, 2)} µs a token " +
                "(R² ${number(line.rSquared)}). 4,200 requests/s and 950,000 tokens/s cost " +
                "${number(perSecond / MICROS_PER_SECOND)} cores in all, " +
                "${number(
                    perSecond / MICROS_PER_SECOND / TARGET_ROUTERS * PERCENT,
                )} % of a core on each of 370 routers.",
        )
    }

    private class RequestCost(
        val tokens: Int,
        val rate: Double,
        val micros: Double,
    )

    private fun measureRequestCost(
        bench: DeploymentBench,
        tokens: Int,
    ): RequestCost =
        ClientFactory.builder().build().use { factory ->
            val client = WebClient.builder("http://${bench.addresses().first()}").factory(factory).build()
            val load = ClosedLoopLoad(client) { streamedRequest(bench.sample, tokens) }
            load.run(WARM_UP_TIME, IN_FLIGHT)
            val process = bench.processes().first()
            val before = ProcessCost.processorTime(process)
            val result = load.run(MEASURED_TIME, IN_FLIGHT)
            val spent = (ProcessCost.processorTime(process) - before).toDouble(DurationUnit.MICROSECONDS)
            check(result.failures == 0) { "${result.failures} requests failed" }
            RequestCost(tokens, result.rate, spent / result.latency.totalCount)
        }

    private fun streamedRequest(
        sample: SampleDeployment,
        tokens: Int,
    ): HttpRequest {
        val organisation =
            sample.initialNote.organisations.added
                .first()
        val token = SampleDeployment.tokenOf(organisation.id.value)
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "/v1/chat/completions")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $token")
                .build()
        val body = """{"model":"auto","stream":true,"max_tokens":$tokens,"messages":[{"role":"user","content":"hi"}]}"""
        return HttpRequest.of(headers, HttpData.ofUtf8(body))
    }

    private companion object {
        const val SEED = 1L
        const val PERCENT = 100.0
        const val BYTES_PER_MEBIBYTE = 1_048_576.0
        const val MICROS_PER_SECOND = 1e6
        const val TARGET_ROUTERS = 370.0
        const val TARGET_REQUESTS_PER_SECOND = 4_200
        const val TARGET_TOKENS_PER_SECOND = 950_000
        const val IN_FLIGHT = 8
        val FLEET_SIZES = listOf(2, 5, 10)
        val TOKENS = listOf(4, 64, 226)
        val LOGS = File(".try/router-cost")
        val SETTLING_TIME = 6.seconds
        val MEASURED_TIME = 8.seconds
        val WARM_UP_TIME = 4.seconds
    }
}
