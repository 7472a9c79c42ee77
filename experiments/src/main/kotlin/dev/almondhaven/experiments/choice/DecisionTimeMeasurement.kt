package dev.almondhaven.experiments.choice

import com.sun.management.ThreadMXBean
import dev.almondhaven.decision.choice.Candidate
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.ExplorationBudget
import dev.almondhaven.decision.choice.ExplorationLimits
import dev.almondhaven.decision.choice.PlanChooser
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.decision.choice.VersionEstimate
import dev.almondhaven.experiments.ExperimentReport
import org.HdrHistogram.Histogram
import org.apache.commons.rng.simple.RandomSource
import java.lang.management.ManagementFactory

/** Measures the latency and heap allocation of one model choice among nine versions for ten organisations. */
internal class DecisionTimeMeasurement {
    private val candidates =
        listOf(TaskClassifier.TAGGING, TaskClassifier.QUERY, TaskClassifier.DRAFTING).associateWith { taskClass ->
            FakeModel.ALL.map {
                Candidate(it.version, VersionEstimate.of(it.version, taskClass, emptyMap(), 0))
            }
        }
    private val budget = ExplorationBudget(ExplorationLimits(), RandomSource.XO_RO_SHI_RO_128_PP.create(1))
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    fun run(report: ExperimentReport) {
        val workload = FakeWorkload(3)
        val requests = List(DECISIONS) { workload.next() }
        requests.forEach { decide(it) }
        val rows = (1..ROUNDS).map { measureRound(it, requests) }
        report.table("Decision, 9 versions, 10 organisations, exploration included", COLUMNS, rows)
    }

    private fun measureRound(
        number: Int,
        requests: List<FakeRequest>,
    ): List<String> {
        val histogram = Histogram(3)
        val before = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        for (request in requests) {
            val start = System.nanoTime()
            decide(request)
            histogram.recordValue(System.nanoTime() - start)
        }
        val allocated = threads.getThreadAllocatedBytes(Thread.currentThread().id) - before
        return listOf(
            "$number",
            micros(histogram.getValueAtPercentile(50.0)),
            micros(histogram.getValueAtPercentile(99.0)),
            micros(histogram.getValueAtPercentile(99.9)),
            "${allocated / requests.size}",
        )
    }

    private fun decide(request: FakeRequest) {
        val demand = Demand(request.promptTokens, request.outputTokens, request.target, DEADLINE_MILLIS)
        val classCandidates = candidates.getValue(request.taskClass)
        val plan = checkNotNull(PlanChooser.choose(classCandidates, demand)) { "no plan for $demand" }
        budget.explore(plan, classCandidates, demand)
    }

    private fun micros(nanos: Long): String = ExperimentReport.number(nanos / 1_000.0)

    private companion object {
        const val DECISIONS = 200_000
        const val ROUNDS = 3
        const val DEADLINE_MILLIS = 60_000L
        val COLUMNS = listOf("round of 200,000", "p50 us", "p99 us", "p99.9 us", "bytes allocated per decision")
    }
}
