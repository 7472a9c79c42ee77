package dev.almondhaven.decision.choice

/**
 * Chooses the plan of least expected cost that meets the quality target and the deadline, among single versions and
 * two-step cascades. If none meets the target, it chooses the plan of highest expected quality.
 *
 * The search examines at most a few hundred plans and allocates no plan but the one that it returns.
 */
public object PlanChooser {
    /** Price of a cached prompt token as a share of the price of an uncached one. */
    public const val CACHED_TOKEN_PRICE_SHARE: Double = 0.1

    /** Number of standard deviations by which an estimated quality is lowered before it is compared with the target. */
    public const val CAUTION_DEVIATIONS: Double = 0.25

    /** Utilisation above which the cost rises, by [BUSY_SURCHARGE] times the excess. */
    private const val BUSY_UTILISATION = 0.7
    private const val BUSY_SURCHARGE = 2.0

    /** Share of the time until the deadline that the expected delay may take. */
    private const val DEADLINE_SHARE = 0.8

    /** The best plan for [demand], late if none is in time; null if no candidate accepts a prompt of that length. */
    public fun choose(
        candidates: List<Candidate>,
        demand: Demand,
    ): Plan? = search(candidates, demand, demand.remainingMillis) ?: search(candidates, demand, Long.MAX_VALUE)

    /** Expected cost of one request to [candidate], raised if its endpoints are busy. */
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

    /** Expected quality of [candidate] alone, lowered by a margin for uncertainty. */
    public fun quality(candidate: Candidate): Double =
        candidate.estimate.quality - CAUTION_DEVIATIONS * candidate.estimate.deviation

    private fun surcharge(utilisation: Double): Double =
        1 + BUSY_SURCHARGE * (utilisation - BUSY_UTILISATION).coerceAtLeast(0.0)

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
        for (index in candidates.indices) search.considerSingle(candidates[index])
        if (demand.mayEscalate) {
            for (first in candidates.indices) {
                for (second in candidates.indices) {
                    if (first != second) search.considerCascade(candidates[first], candidates[second])
                }
            }
        }
        return search.plan()
    }

    private class Search(
        private val demand: Demand,
        private val maximumDelayMillis: Double,
    ) {
        private var first: Candidate? = null
        private var second: Candidate? = null
        private var minimumConfidence = ConfidenceBand.INCOMPLETE
        private var bestCost = 0.0
        private var bestQuality = 0.0
        private var meetsTarget = false

        fun considerSingle(candidate: Candidate) {
            if (!acceptsPrompt(candidate) || delayMillis(candidate, demand) > maximumDelayMillis) return
            consider(candidate, null, ConfidenceBand.INCOMPLETE, cost(candidate, demand), quality(candidate))
        }

        fun considerCascade(
            cheap: Candidate,
            strong: Candidate,
        ) {
            if (!acceptsPrompt(cheap) || !acceptsPrompt(strong)) return
            if (delayMillis(cheap, demand) + delayMillis(strong, demand) > maximumDelayMillis) return
            val cheapCost = cost(cheap, demand)
            val strongCost = cost(strong, demand)
            if (cheapCost >= strongCost) return
            val margin = CAUTION_DEVIATIONS * cheap.estimate.deviation
            for (index in ConfidenceBand.LOW.ordinal..ConfidenceBand.HIGH.ordinal) {
                val band = ConfidenceBand.ALL[index]
                val acceptedShare = cheap.estimate.acceptance(band)
                val acceptedQuality = cheap.estimate.acceptedQuality(band) - margin
                val escalatedQuality = strong.estimate.escalatedQuality - CAUTION_DEVIATIONS * strong.estimate.deviation
                val quality = acceptedShare * acceptedQuality + (1 - acceptedShare) * escalatedQuality
                consider(cheap, strong, band, cheapCost + (1 - acceptedShare) * strongCost, quality)
            }
        }

        fun plan(): Plan? {
            val chosen = first ?: return null
            return Plan(chosen.version, second?.version, minimumConfidence, bestCost, bestQuality, meetsTarget)
        }

        private fun acceptsPrompt(candidate: Candidate): Boolean =
            demand.promptTokens <= candidate.version.promptTokensLimit

        private fun consider(
            first: Candidate,
            second: Candidate?,
            minimumConfidence: ConfidenceBand,
            cost: Double,
            quality: Double,
        ) {
            if (!isBetter(cost, quality)) return
            this.first = first
            this.second = second
            this.minimumConfidence = minimumConfidence
            bestCost = cost
            bestQuality = quality
            meetsTarget = quality >= demand.target
        }

        private fun isBetter(
            cost: Double,
            quality: Double,
        ): Boolean {
            val reachesTarget = quality >= demand.target
            return when {
                first == null -> true
                reachesTarget != meetsTarget -> reachesTarget
                reachesTarget -> cost < bestCost
                quality != bestQuality -> quality > bestQuality
                else -> cost < bestCost
            }
        }
    }
}
