package dev.almondhaven.decision.choice

/**
 * Chooses the plan of least expected cost that reaches the target and the deadline, among single versions and two-step
 * cascades. When none reaches the target, it chooses the plan of best expected quality.
 *
 * The search walks over at most a few hundred plans and allocates only the plan that it returns.
 */
public object PlanChooser {
    /** Part of the price that a cached prompt token still costs. */
    public const val CACHED_TOKEN_PRICE_SHARE: Double = 0.1

    /** Standard deviations by which an estimate is lowered before it is compared with the target. */
    public const val CAUTION: Double = 0.25

    private const val BUSY_FROM = 0.7
    private const val BUSY_SURCHARGE = 2.0

    /** Part of the deadline that the expected delay may take up. */
    private const val DEADLINE_SHARE = 0.8

    /** The best plan for [demand], or null when no candidate takes a prompt of that length. */
    public fun choose(
        candidates: List<Candidate>,
        demand: Demand,
    ): Plan? = search(candidates, demand, demand.remainingMillis) ?: search(candidates, demand, Long.MAX_VALUE)

    /** Expected cost of one run on [candidate], raised when its endpoints are busy. */
    public fun cost(
        candidate: Candidate,
        demand: Demand,
    ): Double {
        val cached = demand.promptTokens * candidate.conditions.cachedPromptShare
        val promptTokens = demand.promptTokens - cached * (1 - CACHED_TOKEN_PRICE_SHARE)
        val price = candidate.version.price
        val cost = price.input * promptTokens + price.output * demand.outputTokens
        return cost * surcharge(candidate.conditions.utilisation)
    }

    /** Expected quality of [candidate] alone, lowered by its uncertainty. */
    public fun quality(candidate: Candidate): Double =
        candidate.estimate.quality - CAUTION * candidate.estimate.deviation

    private fun surcharge(utilisation: Double): Double =
        1 + BUSY_SURCHARGE * (utilisation - BUSY_FROM).coerceAtLeast(0.0)

    private fun delayMillis(
        candidate: Candidate,
        demand: Demand,
    ): Double = candidate.estimate.millisecondsPerToken * demand.outputTokens

    private fun search(
        candidates: List<Candidate>,
        demand: Demand,
        remainingMillis: Long,
    ): Plan? {
        val search = Search(demand, remainingMillis.toDouble() * DEADLINE_SHARE)
        for (index in candidates.indices) search.single(candidates[index])
        if (demand.mayEscalate) {
            for (first in candidates.indices) {
                for (second in candidates.indices) {
                    if (first != second) search.cascade(candidates[first], candidates[second])
                }
            }
        }
        return search.plan()
    }

    private class Search(
        private val demand: Demand,
        private val patienceMillis: Double,
    ) {
        private var first: Candidate? = null
        private var second: Candidate? = null
        private var minimumConfidence = ConfidenceBand.INCOMPLETE
        private var bestCost = 0.0
        private var bestQuality = 0.0
        private var meets = false

        fun single(candidate: Candidate) {
            if (!fits(candidate) || delayMillis(candidate, demand) > patienceMillis) return
            consider(candidate, null, ConfidenceBand.INCOMPLETE, cost(candidate, demand), quality(candidate))
        }

        fun cascade(
            cheap: Candidate,
            strong: Candidate,
        ) {
            if (!fits(cheap) || !fits(strong)) return
            if (delayMillis(cheap, demand) + delayMillis(strong, demand) > patienceMillis) return
            val cheapCost = cost(cheap, demand)
            val strongCost = cost(strong, demand)
            if (cheapCost >= strongCost) return
            val lowered = CAUTION * cheap.estimate.deviation
            for (index in ConfidenceBand.LOW.ordinal..ConfidenceBand.HIGH.ordinal) {
                val band = ConfidenceBand.ALL[index]
                val accepted = cheap.estimate.acceptance(band)
                val acceptedQuality = cheap.estimate.acceptedQuality(band) - lowered
                val escalatedQuality = strong.estimate.escalatedQuality - CAUTION * strong.estimate.deviation
                val quality = accepted * acceptedQuality + (1 - accepted) * escalatedQuality
                consider(cheap, strong, band, cheapCost + (1 - accepted) * strongCost, quality)
            }
        }

        fun plan(): Plan? {
            val chosen = first ?: return null
            return Plan(chosen.version, second?.version, minimumConfidence, bestCost, bestQuality, meets)
        }

        private fun fits(candidate: Candidate): Boolean = demand.promptTokens <= candidate.version.promptTokensLimit

        private fun consider(
            first: Candidate,
            second: Candidate?,
            minimumConfidence: ConfidenceBand,
            cost: Double,
            quality: Double,
        ) {
            if (!better(cost, quality)) return
            this.first = first
            this.second = second
            this.minimumConfidence = minimumConfidence
            bestCost = cost
            bestQuality = quality
            meets = quality >= demand.target
        }

        private fun better(
            cost: Double,
            quality: Double,
        ): Boolean {
            val reaches = quality >= demand.target
            return when {
                first == null -> true
                reaches != meets -> reaches
                reaches -> cost < bestCost
                quality != bestQuality -> quality > bestQuality
                else -> cost < bestCost
            }
        }
    }
}
