package dev.almondhaven.decision.rollout

import org.apache.commons.math3.special.Beta
import kotlin.math.ln

/**
 * Observations from 0 to 1 of which only count and sum are known.
 *
 * @property count number of observations.
 * @property sum their sum.
 */
public data class Sample(
    public val count: Long,
    public val sum: Double,
) {
    init {
        require(count >= 0) { "count must not be negative, got $count" }
        require(sum in 0.0..count.toDouble()) { "sum must be from 0 to $count, got $sum" }
    }

    /** The mean, or 0 of an empty sample. */
    public val mean: Double get() = if (count == 0L) 0.0 else sum / count
}

/**
 * Sequential tests that stay valid however often one looks and whenever one stops.
 *
 * For observations from 0 to 1 with mean p, the Beta-binomial mixture
 * `M(p) = B(a + sum, b + count - sum) / (B(a, b) p^sum (1 - p)^(count - sum))` is a non-negative supermartingale that
 * starts at 1, so by Ville's inequality it exceeds 1/alpha at any time with probability alpha at most. It rests on count
 * and sum only, so it can be computed on evidence merged from many routers in any order.
 */
public object MixtureTest {
    private const val PRIOR = 0.5
    private const val SEARCH_STEPS = 60
    private const val SMALLEST_MEAN = 1e-9

    /** Natural logarithm of the evidence against [mean] being the mean that [sample] comes from. */
    public fun logEvidenceAgainst(
        mean: Double,
        sample: Sample,
    ): Double {
        val misses = sample.count - sample.sum
        val mixture = Beta.logBeta(PRIOR + sample.sum, PRIOR + misses) - Beta.logBeta(PRIOR, PRIOR)
        return mixture - likelihood(mean, sample)
    }

    /**
     * Natural logarithm of the evidence against `mean(candidate) <= mean(reference) + margin`: the least, over all pairs
     * of means that satisfy it, of the product of the evidence against each. 0 when the samples agree with it.
     */
    public fun logEvidenceOfIncrease(
        candidate: Sample,
        reference: Sample,
        margin: Double,
    ): Double {
        require(margin >= 0) { "margin must not be negative, got $margin" }
        if (candidate.count == 0L || reference.count == 0L) return 0.0
        if (candidate.mean <= reference.mean + margin) return 0.0
        val evidence = { mean: Double ->
            logEvidenceAgainst(mean, reference) + logEvidenceAgainst((mean + margin).coerceAtMost(1.0), candidate)
        }
        return least(0.0, 1.0 - margin, evidence).coerceAtLeast(0.0)
    }

    /** Natural logarithm of the evidence against `mean(sample) <= mean`. */
    public fun logEvidenceAbove(
        mean: Double,
        sample: Sample,
    ): Double = if (sample.mean <= mean) 0.0 else logEvidenceAgainst(mean, sample).coerceAtLeast(0.0)

    private fun likelihood(
        mean: Double,
        sample: Sample,
    ): Double {
        val inside = mean.coerceIn(SMALLEST_MEAN, 1 - SMALLEST_MEAN)
        return sample.sum * ln(inside) + (sample.count - sample.sum) * ln(1 - inside)
    }

    /** The least value of the convex [function]; by ternary search, since the function is convex in the mean. */
    private fun least(
        from: Double,
        to: Double,
        function: (Double) -> Double,
    ): Double {
        var low = from
        var high = to
        repeat(SEARCH_STEPS) {
            val third = (high - low) / 3
            if (function(low + third) < function(high - third)) high -= third else low += third
        }
        return function((low + high) / 2)
    }
}
