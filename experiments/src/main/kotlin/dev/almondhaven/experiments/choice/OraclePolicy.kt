package dev.almondhaven.experiments.choice

import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.Plan
import dev.almondhaven.model.TaskClass
import org.apache.commons.rng.simple.RandomSource

/** Knows the true quality and cost of every version and cascade, and chooses the cheapest that reaches the target. */
internal class OraclePolicy : ModelChoicePolicy {
    override val name: String = "oracle"
    private val plans = HashMap<Pair<TaskClass, Double>, Plan>()

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan = plans.getOrPut(request.taskClass to request.target) { search(SampledAnswers(request), demand) }

    private fun search(
        sampledAnswers: SampledAnswers,
        demand: Demand,
    ): Plan {
        val singles = FakeModel.ALL.indices.map { sampledAnswers.single(it) }
        val cascades =
            FakeModel.ALL.indices.flatMap { first ->
                FakeModel.ALL.indices.filter { it != first }.flatMap { second ->
                    ConfidenceBand.ALL.drop(1).map { sampledAnswers.cascade(first, second, it) }
                }
            }
        val all = singles + cascades
        return all.filter { it.quality >= demand.target }.minByOrNull { it.cost } ?: all.maxBy { it.quality }
    }

    /** Quality and cost of plans, estimated from the answers of all models to the same sample of requests. */
    private class SampledAnswers(
        private val request: FakeRequest,
    ) {
        private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
        private val answers =
            List(SAMPLES) {
                val drawn = FakeRequest(request.taskClass, 0, request.target, 0, 0, random.nextDouble())
                FakeModel.ALL.map { it.answer(drawn, random) }
            }

        fun single(index: Int): Plan {
            val quality = answers.sumOf { it[index].quality } / SAMPLES
            return Plan(FakeModel.ALL[index].version, null, ConfidenceBand.INCOMPLETE, cost(index), quality, true)
        }

        fun cascade(
            first: Int,
            second: Int,
            acceptFrom: ConfidenceBand,
        ): Plan {
            val escalated = answers.count { it[first].confidence < acceptFrom }.toDouble() / SAMPLES
            val quality =
                answers.sumOf { if (it[first].confidence < acceptFrom) it[second].quality else it[first].quality }
            val cost = cost(first) + escalated * cost(second)
            val versions = FakeModel.ALL.map { it.version }
            return Plan(versions[first], versions[second], acceptFrom, cost, quality / SAMPLES, true)
        }

        private fun cost(index: Int): Double {
            val price = FakeModel.ALL[index].version.price
            return price.input * request.promptTokens + price.output * request.outputTokens
        }
    }

    private companion object {
        const val SEED = 99L
        const val SAMPLES = 20_000
    }
}
