package dev.almondhaven.experiments.serving

import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Compares endpoint choice with the baselines at steady load, after a cold restart of an engine, and while a failure
 * domain is out of service.
 */
public class ServingExperiment : Experiment {
    override val name: String get() = "endpoint-choice"

    override val about: String get() = "Endpoint choice, cold endpoints and a domain that leaves, on virtual time."

    private class Size(
        val routers: Int,
        val endpoints: Int,
        val domains: Int,
        val duration: Duration,
    ) {
        override fun toString(): String = "$routers/$endpoints/$domains"
    }

    private val sizes = listOf(Size(5, 8, 4, 40.seconds), Size(62, 130, 1, 20.seconds))
    private val largest = Size(370, 780, 6, 8.seconds)

    override fun run(report: ExperimentReport) {
        report.text(
            "The router's own decisions on virtual time: engines with 16 slots, one in ten half as fast, reports " +
                "every 500 ms and 150 ms late, a prefix cache of 64 entries for 48 sessions per engine. Seed 1.",
        )
        reportEndpointChoice(report)
        reportColdEngine(report)
        reportDomainOutage(report)
    }

    private fun reportEndpointChoice(report: ExperimentReport) {
        val rows =
            sizes.flatMap { size ->
                PolicyKind.entries.filter { it != PolicyKind.WITHOUT_RAMP }.map { policy -> choiceRow(size, policy) }
            } + listOf(PolicyKind.RANDOM, PolicyKind.ALMONDHAVEN).map { choiceRow(largest, it) }
        report.table(
            "Time to first token at 80% load",
            listOf("routers/endpoints/domains", "policy", "p50 ms", "p99 ms", "finished of arrived", "cache hits"),
            rows,
        )
    }

    private fun choiceRow(
        size: Size,
        policy: PolicyKind,
    ): List<String> {
        val run = ServingRun(ServingPlan(policy, size.routers, size.endpoints, size.domains, 0.8, size.duration)).run()
        return listOf(
            "$size",
            policy.label,
            "${run.milliseconds(50.0)}",
            "${run.milliseconds(99.0)}",
            number(run.finished.toDouble() / run.arrived, 3),
            number(run.cacheHitRatio, 3),
        )
    }

    private fun reportColdEngine(report: ExperimentReport) {
        val policies = listOf(PolicyKind.LEAST_REPORTED, PolicyKind.WITHOUT_RAMP, PolicyKind.ALMONDHAVEN)
        val rows =
            sizes.flatMap { size ->
                policies.flatMap { policy -> listOf(true, false).map { coldRow(size, policy, restarts = it) } }
            }
        report.table(
            "An engine turns cold unannounced at 50% load",
            listOf("routers/endpoints/domains", "policy", "connections", "worst excess over what it bears", "p99 ms"),
            rows,
        )
    }

    private fun coldRow(
        size: Size,
        policy: PolicyKind,
        restarts: Boolean,
    ): List<String> {
        val plan = ServingPlan(policy, size.routers, size.endpoints, size.domains, 0.5, 20.seconds)
        val run = ServingRun(plan).at(10.seconds) { if (restarts) restart(0) else turnCold(0) }.run()
        val connections = if (restarts) "close" else "stay"
        return listOf("$size", policy.label, connections, "${run.worstExcess}", "${run.milliseconds(99.0)}")
    }

    private fun reportDomainOutage(report: ExperimentReport) {
        val rows = listOf(false, true).map { leaves -> domainRow(leaves) }
        report.table(
            "One of four domains leaves at 15 s and returns at 30 s, 5 routers, 8 endpoints, 50% load",
            listOf("run", "p50 ms", "p99 ms", "not finished", "arrived"),
            rows,
        )
    }

    private fun domainRow(leaves: Boolean): List<String> {
        val plan = ServingPlan(PolicyKind.ALMONDHAVEN, routers = 5, endpoints = 8, domains = 4, load = 0.5, 60.seconds)
        val run = ServingRun(plan)
        if (leaves) {
            run.at(15.seconds) { setInService(0, false) }
            run.at(30.seconds) { setInService(0, true) }
        }
        run.run()
        val label = if (leaves) "leaves and returns" else "steady"
        return listOf(
            label,
            "${run.milliseconds(50.0)}",
            "${run.milliseconds(99.0)}",
            "${run.arrived - run.finished}",
            "${run.arrived}",
        )
    }
}
