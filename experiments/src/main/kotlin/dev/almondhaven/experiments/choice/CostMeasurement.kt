package dev.almondhaven.experiments.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.model.TaskClass
import org.apache.commons.rng.simple.RandomSource
import java.util.ArrayDeque

/** Cost and quality of one policy, per request where not stated otherwise. */
internal class CostResult(
    val name: String,
    val costPerThousand: Double,
    val quality: Double,
    val shortfall: Double,
    val escalated: Double,
)

/** Compares the cost of several policies at the quality target over a simulated day of requests. */
internal class CostMeasurement(
    private val ratedShare: Double,
    private val requests: Int = REQUESTS,
    private val seed: Long = SEED,
) {
    private val models = FakeModel.ALL.associateBy { it.version.id }

    fun run(report: ExperimentReport): List<CostResult> {
        val best =
            FakeModel.ALL.maxBy {
                it.version.quality.classes.values
                    .sum()
            }
        val cheapest = FakeModel.ALL.minBy { it.version.price.output }
        val router = RouterPolicy(randomSource(1))
        val results =
            listOf(
                FixedPolicy("always-best", best),
                FixedPolicy("always-cheapest", cheapest),
                RandomPolicy(randomSource(2)),
                EpsilonGreedyPolicy(randomSource(3)),
                OraclePolicy(),
                router,
            ).map { evaluate(it) }
        write(report, results)
        val share = ExperimentReport.number(100.0 * router.exploredRequests / requests)
        report.text("almondhaven explored with $share% of the requests (budget 2%).")
        return results
    }

    private fun write(
        report: ExperimentReport,
        results: List<CostResult>,
    ) {
        val oracle = results.first { it.name == "oracle" }.costPerThousand
        val best = results.first { it.name == "always-best" }.costPerThousand
        val rows =
            results.map {
                listOf(
                    it.name,
                    ExperimentReport.number(it.costPerThousand / MICRO, 4),
                    ExperimentReport.number(it.costPerThousand / oracle),
                    ExperimentReport.number(it.costPerThousand / best),
                    ExperimentReport.number(it.quality, 3),
                    ExperimentReport.number(it.shortfall, 4),
                    ExperimentReport.number(100 * it.escalated, 1),
                )
            }
        val percent = ExperimentReport.number(100 * ratedShare, 0)
        report.table("Cost at the quality target, $percent% of the answers rated, 60 s late", COLUMNS, rows)
    }

    private fun evaluate(policy: ModelChoicePolicy): CostResult {
        val run = PolicyRun(policy)
        val workload = FakeWorkload(seed)
        repeat(requests) { run.next(workload.next(), it * MILLIS_PER_DAY / requests) }
        return run.result()
    }

    private fun randomSource(offset: Long) = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + offset)

    private inner class PolicyRun(
        private val policy: ModelChoicePolicy,
    ) {
        private val answers = randomSource(10)
        private val sampling = randomSource(11)
        private val pendingRatings = ArrayDeque<LateRating>()
        private val groups = HashMap<Pair<Int, TaskClass>, Group>()
        private var cost = 0.0
        private var escalated = 0

        fun next(
            request: FakeRequest,
            now: Long,
        ) {
            while (pendingRatings.isNotEmpty() && pendingRatings.first().due <= now) {
                deliver(pendingRatings.removeFirst(), now)
            }
            val demand = Demand(request.promptTokens, request.outputTokens, request.target, DEADLINE_MILLIS)
            val plan = policy.choose(request, demand, now)
            var answer = runStep(plan.first, request, now)
            var served = plan.first
            val escalation = plan.escalation
            if (escalation != null && answer.confidence < plan.minimumConfidence) {
                escalated++
                answer = runStep(escalation, request, now)
                served = escalation
            }
            val group = groups.getOrPut(request.organisation to request.taskClass) { Group(request.target) }
            group.count++
            group.quality += answer.quality
            if (sampling.nextDouble() < ratedShare) {
                val wasEscalated = served !== plan.first
                pendingRatings += LateRating(now + RATING_LAG_MILLIS, served, request, answer, wasEscalated)
            }
        }

        fun result(): CostResult {
            val total = groups.values.sumOf { it.count }
            val shortfall = groups.values.sumOf { (it.target * it.count - it.quality).coerceAtLeast(0.0) }
            val quality = groups.values.sumOf { it.quality } / total
            return CostResult(
                policy.name,
                cost / total * 1_000,
                quality,
                shortfall / total,
                escalated.toDouble() / total,
            )
        }

        private fun runStep(
            version: ModelVersion,
            request: FakeRequest,
            now: Long,
        ): FakeAnswer {
            val price = version.price
            cost += price.input * request.promptTokens + price.output * request.outputTokens
            val answer = models.getValue(version.id).answer(request, answers)
            policy.recordAnswer(version, request, answer.confidence, now)
            return answer
        }

        private fun deliver(
            rating: LateRating,
            now: Long,
        ): Unit =
            policy.recordRating(
                rating.version,
                rating.request.taskClass,
                rating.answer,
                rating.escalated,
                now,
            )
    }

    private class Group(
        val target: Double,
    ) {
        var count = 0
        var quality = 0.0
    }

    private class LateRating(
        val due: Long,
        val version: ModelVersion,
        val request: FakeRequest,
        val answer: FakeAnswer,
        val escalated: Boolean,
    )

    private companion object {
        const val REQUESTS = 400_000
        const val SEED = 42L
        const val RATING_LAG_MILLIS = 60_000L
        const val MILLIS_PER_DAY = 86_400_000L
        const val DEADLINE_MILLIS = 120_000L
        const val MICRO = 1e6
        val COLUMNS =
            listOf(
                "policy",
                "cost per 1,000 requests",
                "to oracle",
                "to always-best",
                "mean quality",
                "shortfall below target",
                "escalated %",
            )
    }
}
