package dev.almondhaven.experiments.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.Candidate
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.ExplorationBudget
import dev.almondhaven.decision.choice.ExplorationLimits
import dev.almondhaven.decision.choice.Plan
import dev.almondhaven.decision.choice.PlanChooser
import dev.almondhaven.decision.choice.VersionEstimate
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.TaskClass
import org.apache.commons.rng.UniformRandomProvider

/** A way to choose models, compared with others on the same requests. */
internal interface ChoicePolicy {
    val name: String

    fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan

    /** An answer was given at the step on [version]. */
    fun answered(
        version: ModelVersion,
        request: FakeRequest,
        confidence: ConfidenceBand,
        now: Long,
    ): Unit = Unit

    /** A rating of a delivered answer has come in. */
    fun rated(
        version: ModelVersion,
        taskClass: TaskClass,
        answer: FakeAnswer,
        escalated: Boolean,
        now: Long,
    ): Unit = Unit
}

private fun single(
    model: FakeModel,
    demand: Demand,
    estimate: VersionEstimate = NEUTRAL,
): Plan {
    val cost = PlanChooser.cost(Candidate(model.version, estimate), demand)
    return Plan(model.version, null, ConfidenceBand.INCOMPLETE, cost, 0.0, meetsTarget = true)
}

private val NEUTRAL = VersionEstimate(0.5, 0.0, 0.0, DoubleArray(4) { 1.0 }, DoubleArray(4) { 0.5 }, 20.0)

/** Always the same model. */
internal class FixedPolicy(
    override val name: String,
    private val model: FakeModel,
) : ChoicePolicy {
    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan = single(model, demand)
}

/** Any model, the cheaper the likelier. */
internal class RandomPolicy(
    private val random: UniformRandomProvider,
) : ChoicePolicy {
    override val name: String = "random by weight (1/price)"
    private val weights = FakeModel.ALL.map { 1 / it.version.price.output }

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        var left = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight -> (left - weight).also { left = it } < 0 }
        return single(FakeModel.ALL[maxOf(0, index)], demand)
    }
}

/** The cheapest model whose mean rating reaches the target; any model for a fixed part of the requests. */
internal class EpsilonGreedyPolicy(
    private val random: UniformRandomProvider,
) : ChoicePolicy {
    override val name: String = "epsilon-greedy (5%)"
    private val sums = HashMap<Pair<ModelVersion, TaskClass>, DoubleArray>()

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        if (random.nextDouble() < EPSILON) return single(FakeModel.ALL[random.nextInt(FakeModel.ALL.size)], demand)
        val adequate = FakeModel.ALL.filter { mean(it, request.taskClass) >= request.target }
        val chosen = adequate.minByOrNull { it.version.price.output }
        return single(chosen ?: FakeModel.ALL.maxBy { mean(it, request.taskClass) }, demand)
    }

    override fun rated(
        version: ModelVersion,
        taskClass: TaskClass,
        answer: FakeAnswer,
        escalated: Boolean,
        now: Long,
    ) {
        val entry = sums.getOrPut(version to taskClass) { DoubleArray(2) }
        entry[0] += answer.quality
        entry[1] += 1.0
    }

    private fun mean(
        model: FakeModel,
        taskClass: TaskClass,
    ): Double {
        val entry = sums[model.version to taskClass] ?: return model.version.quality.of(taskClass)
        return entry[0] / entry[1]
    }

    private companion object {
        const val EPSILON = 0.05
    }
}

/** The router's own decision, fed as the router feeds it. */
internal class RouterPolicy(
    random: UniformRandomProvider,
) : ChoicePolicy {
    override val name: String = "almondhaven"
    private val pool = EvidencePool(RouterId("router"))
    private val budget = ExplorationBudget(ExplorationLimits(), random)
    private var candidates = HashMap<TaskClass, List<Candidate>>()
    private var builtAt = Long.MIN_VALUE

    /** Requests that explored. */
    val explored: Long get() = budget.exploredRequests

    /** Cost that exploration added. */
    val exploredCost: Double get() = budget.addedCost

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        if (builtAt == Long.MIN_VALUE || now - builtAt >= EVALUATION_MILLIS) {
            pool.advance(now)
            candidates = HashMap()
            builtAt = now
        }
        val known =
            candidates.getOrPut(
                request.taskClass,
            ) { FakeModel.ALL.map { candidate(it, request.taskClass, now) } }
        val plan = checkNotNull(PlanChooser.choose(known, demand)) { "no plan for $demand" }
        return budget.explore(plan, known, demand)
    }

    override fun answered(
        version: ModelVersion,
        request: FakeRequest,
        confidence: ConfidenceBand,
        now: Long,
    ): Unit = pool.record(subject(version, request.taskClass), now) { it.plusRequest(false, 20.0, confidence) }

    override fun rated(
        version: ModelVersion,
        taskClass: TaskClass,
        answer: FakeAnswer,
        escalated: Boolean,
        now: Long,
    ): Unit =
        pool.record(subject(version, taskClass), now) {
            if (escalated) it.plusEscalatedRating(answer.quality) else it.plusRating(answer.quality, answer.confidence)
        }

    private fun candidate(
        model: FakeModel,
        taskClass: TaskClass,
        now: Long,
    ): Candidate {
        val buckets = pool.totals.buckets(subject(model.version, taskClass))
        return Candidate(model.version, VersionEstimate.of(model.version, taskClass, buckets, now))
    }

    private fun subject(
        version: ModelVersion,
        taskClass: TaskClass,
    ): EvidenceSubject = EvidenceSubject(version.id, version.definedIn, taskClass)

    private companion object {
        const val EVALUATION_MILLIS = 5_000L
    }
}
