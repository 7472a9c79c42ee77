package dev.almondhaven.decision.choice

import org.apache.commons.rng.UniformRandomProvider

/**
 * Bounds on exploration.
 *
 * @property requestShare largest part of the requests that explore.
 * @property costShare largest part of the expected cost that exploration may add.
 * @property sufficientDeviation a version whose quality is known this well is explored no more.
 */
public data class ExplorationLimits(
    public val requestShare: Double = DEFAULT_REQUEST_SHARE,
    public val costShare: Double = DEFAULT_COST_SHARE,
    public val sufficientDeviation: Double = DEFAULT_SUFFICIENT_DEVIATION,
) {
    public companion object {
        public const val DEFAULT_REQUEST_SHARE: Double = 0.02
        public const val DEFAULT_COST_SHARE: Double = 0.02
        public const val DEFAULT_SUFFICIENT_DEVIATION: Double = 0.02
    }
}

/**
 * Replaces now and then a plan by one that tries a less known version that might turn out to be the cheaper one. It
 * counts requests and cost, so that the limits hold over every prefix of the requests and not only on average.
 */
public class ExplorationBudget(
    private val limits: ExplorationLimits,
    private val random: UniformRandomProvider,
) {
    private var requests = 0L
    private var explored = 0L
    private var planned = 0.0
    private var added = 0.0

    /** Requests that explored so far. */
    public val exploredRequests: Long get() = explored

    /** Cost that exploration has added so far over the plans that it replaced. */
    public val addedCost: Double get() = added

    /** [plan], or a plan that explores in its place. */
    @Synchronized
    public fun explore(
        plan: Plan,
        candidates: List<Candidate>,
        demand: Demand,
    ): Plan {
        requests++
        planned += plan.cost
        if (explored + 1 > requests * limits.requestShare) return plan
        if (random.nextDouble() >= limits.requestShare * CATCH_UP) return plan
        val chosen = leastKnown(plan, candidates, demand) ?: return plan
        val cost = PlanChooser.cost(chosen, demand)
        val extra = (cost - plan.cost).coerceAtLeast(0.0)
        if (added + extra > planned * limits.costShare) return plan
        explored++
        added += extra
        val quality = PlanChooser.quality(chosen)
        return Plan(chosen.version, null, ConfidenceBand.INCOMPLETE, cost, quality, quality >= demand.target, true)
    }

    private fun leastKnown(
        plan: Plan,
        candidates: List<Candidate>,
        demand: Demand,
    ): Candidate? =
        candidates
            .filter { it.version.id != plan.first.id || plan.escalation != null }
            .filter { demand.promptTokens <= it.version.promptTokensLimit }
            .filter { it.estimate.deviation > limits.sufficientDeviation }
            .filter { mightHelp(it, plan, demand) }
            .maxByOrNull { it.estimate.deviation }

    private fun mightHelp(
        candidate: Candidate,
        plan: Plan,
        demand: Demand,
    ): Boolean {
        val cheaper = PlanChooser.cost(candidate, demand) < plan.cost || !plan.meetsTarget
        val highest = ConfidenceBand.HIGH
        val optimistic = candidate.estimate.acceptedQuality(highest) + OPTIMISM * candidate.estimate.deviation
        return cheaper && optimistic >= demand.target
    }

    private companion object {
        /** How much faster than its share exploration may go while it is behind its budget. */
        const val CATCH_UP = 4.0
        const val OPTIMISM = 2.0
    }
}
