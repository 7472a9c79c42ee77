package dev.almondhaven.decision.choice

import org.apache.commons.rng.UniformRandomProvider

/**
 * Bounds on exploration.
 *
 * @property requestShare maximum share of the requests that explore.
 * @property costShare maximum cost that exploration may add, as a share of the expected cost.
 * @property sufficientDeviation standard deviation of a version's estimated quality at or below which it is no longer
 *   explored.
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
 * Occasionally replaces a plan by one that tries a version of uncertain quality that might be cheaper. It counts
 * requests and cost, so that the limits hold after every single request and not only on average.
 */
public class ExplorationBudget(
    private val limits: ExplorationLimits,
    private val random: UniformRandomProvider,
) {
    private var requests = 0L
    private var explored = 0L
    private var plannedCost = 0.0
    private var totalAddedCost = 0.0

    /** Number of requests that explored so far. */
    public val exploredRequests: Long get() = explored

    /** Total cost that exploration has added so far to that of the replaced plans. */
    public val addedCost: Double get() = totalAddedCost

    /** Returns [plan], or a plan that explores in its place. */
    @Synchronized
    public fun explore(
        plan: Plan,
        candidates: List<Candidate>,
        demand: Demand,
    ): Plan {
        requests++
        plannedCost += plan.cost
        if (explored + 1 > requests * limits.requestShare) return plan
        if (random.nextDouble() >= limits.requestShare * CATCH_UP_FACTOR) return plan
        val chosen = mostUncertain(plan, candidates, demand) ?: return plan
        val cost = PlanChooser.cost(chosen, demand)
        val extraCost = (cost - plan.cost).coerceAtLeast(0.0)
        if (totalAddedCost + extraCost > plannedCost * limits.costShare) return plan
        explored++
        totalAddedCost += extraCost
        val quality = PlanChooser.quality(chosen)
        return Plan(chosen.version, null, ConfidenceBand.INCOMPLETE, cost, quality, quality >= demand.target, true)
    }

    private fun mostUncertain(
        plan: Plan,
        candidates: List<Candidate>,
        demand: Demand,
    ): Candidate? =
        candidates
            .filter { it.version.id != plan.first.id || plan.escalation != null }
            .filter { demand.promptTokens <= it.version.promptTokensLimit }
            .filter { it.estimate.deviation > limits.sufficientDeviation }
            .filter { mightBeBetter(it, plan, demand) }
            .maxByOrNull { it.estimate.deviation }

    private fun mightBeBetter(
        candidate: Candidate,
        plan: Plan,
        demand: Demand,
    ): Boolean {
        val improves = PlanChooser.cost(candidate, demand) < plan.cost || !plan.meetsTarget
        val highestBand = ConfidenceBand.HIGH
        val optimisticQuality =
            candidate.estimate.acceptedQuality(highestBand) + OPTIMISM_DEVIATIONS * candidate.estimate.deviation
        return improves && optimisticQuality >= demand.target
    }

    private companion object {
        /** While exploration is behind its budget, its probability is its share times this factor. */
        const val CATCH_UP_FACTOR = 4.0

        /**
         * Standard deviations by which a version's estimated quality is raised to see whether it is worth exploring.
         */
        const val OPTIMISM_DEVIATIONS = 2.0
    }
}
