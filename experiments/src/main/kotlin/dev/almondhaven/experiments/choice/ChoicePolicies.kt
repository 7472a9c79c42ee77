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

/** A policy for choosing the model version of a request; policies are compared on the same requests. */
internal interface ModelChoicePolicy {
    val name: String

    fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan

    /** Records that [version] answered a step of the plan for [request]. */
    fun recordAnswer(
        version: ModelVersion,
        request: FakeRequest,
        confidence: ConfidenceBand,
        now: Long,
    ): Unit = Unit

    /** Records a rating of a delivered answer; ratings arrive late. */
    fun recordRating(
        version: ModelVersion,
        taskClass: TaskClass,
        answer: FakeAnswer,
        escalated: Boolean,
        now: Long,
    ): Unit = Unit
}

private fun singleStepPlan(
    model: FakeModel,
    demand: Demand,
    estimate: VersionEstimate = NEUTRAL,
): Plan {
    val cost = PlanChooser.cost(Candidate(model.version, estimate), demand)
    return Plan(model.version, null, ConfidenceBand.INCOMPLETE, cost, 0.0, meetsTarget = true)
}

private val NEUTRAL = VersionEstimate(0.5, 0.0, 0.0, DoubleArray(4) { 1.0 }, DoubleArray(4) { 0.5 }, 20.0)

/** Always chooses the same model. */
internal class FixedPolicy(
    override val name: String,
    private val model: FakeModel,
) : ModelChoicePolicy {
    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan = singleStepPlan(model, demand)
}

/** Chooses a random model with a probability inversely proportional to its output price. */
internal class RandomPolicy(
    private val random: UniformRandomProvider,
) : ModelChoicePolicy {
    override val name: String = "random by weight (1/price)"
    private val weights = FakeModel.ALL.map { 1 / it.version.price.output }

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        var left = random.nextDouble() * weights.sum()
        val index = weights.indexOfFirst { weight -> (left - weight).also { left = it } < 0 }
        return singleStepPlan(FakeModel.ALL[maxOf(0, index)], demand)
    }
}

/** Chooses the cheapest model whose mean rating reaches the target, and a random model for 5% of the requests. */
internal class EpsilonGreedyPolicy(
    private val random: UniformRandomProvider,
) : ModelChoicePolicy {
    override val name: String = "epsilon-greedy (5%)"
    private val ratingTotals = HashMap<Pair<ModelVersion, TaskClass>, DoubleArray>()

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        if (random.nextDouble() < EPSILON) {
            return singleStepPlan(FakeModel.ALL[random.nextInt(FakeModel.ALL.size)], demand)
        }
        val adequate = FakeModel.ALL.filter { meanRating(it, request.taskClass) >= request.target }
        val chosen = adequate.minByOrNull { it.version.price.output }
        return singleStepPlan(chosen ?: FakeModel.ALL.maxBy { meanRating(it, request.taskClass) }, demand)
    }

    override fun recordRating(
        version: ModelVersion,
        taskClass: TaskClass,
        answer: FakeAnswer,
        escalated: Boolean,
        now: Long,
    ) {
        val entry = ratingTotals.getOrPut(version to taskClass) { DoubleArray(2) }
        entry[0] += answer.quality
        entry[1] += 1.0
    }

    private fun meanRating(
        model: FakeModel,
        taskClass: TaskClass,
    ): Double {
        val entry = ratingTotals[model.version to taskClass] ?: return model.version.quality.of(taskClass)
        return entry[0] / entry[1]
    }

    private companion object {
        const val EPSILON = 0.05
    }
}

/** Chooses with the router's production code, including exploration, on evidence recorded as the router does. */
internal class RouterPolicy(
    random: UniformRandomProvider,
) : ModelChoicePolicy {
    override val name: String = "almondhaven"
    private val pool = EvidencePool(RouterId("router"))
    private val budget = ExplorationBudget(ExplorationLimits(), random)
    private var candidatesByTaskClass = HashMap<TaskClass, List<Candidate>>()
    private var evaluatedAt = Long.MIN_VALUE

    /** Number of requests used for exploration. */
    val exploredRequests: Long get() = budget.exploredRequests

    /** Additional cost of exploration. */
    val exploredCost: Double get() = budget.addedCost

    override fun choose(
        request: FakeRequest,
        demand: Demand,
        now: Long,
    ): Plan {
        if (evaluatedAt == Long.MIN_VALUE || now - evaluatedAt >= EVALUATION_INTERVAL_MILLIS) {
            pool.advance(now)
            candidatesByTaskClass = HashMap()
            evaluatedAt = now
        }
        val candidates =
            candidatesByTaskClass.getOrPut(
                request.taskClass,
            ) { FakeModel.ALL.map { candidate(it, request.taskClass, now) } }
        val plan = checkNotNull(PlanChooser.choose(candidates, demand)) { "no plan for $demand" }
        return budget.explore(plan, candidates, demand)
    }

    override fun recordAnswer(
        version: ModelVersion,
        request: FakeRequest,
        confidence: ConfidenceBand,
        now: Long,
    ): Unit = pool.record(subject(version, request.taskClass), now) { it.plusRequest(false, 20.0, confidence) }

    override fun recordRating(
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
        const val EVALUATION_INTERVAL_MILLIS = 5_000L
    }
}
