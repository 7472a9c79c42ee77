package dev.almondhaven.decision.rollout

import org.apache.commons.math3.special.Beta
import kotlin.math.ln

/**
 * Summary of observations that each lie between 0 and 1.
 *
 * @property count number of observations.
 * @property sum sum of the observations.
 */
public data class Sample(
    public val count: Long,
    public val sum: Double,
) {
    init {
        require(count >= 0) { "count must not be negative, got $count" }
        require(sum in 0.0..count.toDouble()) { "sum must be from 0 to $count, got $sum" }
    }

    /** Mean of the observations; 0 for an empty sample. */
    public val mean: Double get() = if (count == 0L) 0.0 else sum / count
}

/**
 * Sequential hypothesis tests that stay valid however often the evidence is checked and whenever the test stops.
 *
 * For observations from 0 to 1 with mean p, the Beta-binomial mixture
 * `M(p) = B(a + sum, b + count - sum) / (B(a, b) p^sum (1 - p)^(count - sum))` is a non-negative supermartingale that
 * starts at 1, so by Ville's inequality the probability that it ever exceeds 1/alpha is at most alpha. It depends on
 * count and sum only, so it can be computed from evidence that was merged from many routers in any order.
 */
public object MixtureTest {
    private const val PRIOR = 0.5
    private const val SEARCH_STEPS = 60
    private const val SMALLEST_MEAN = 1e-9

    /**
     * Natural logarithm of the evidence against the hypothesis that [sample] comes from a distribution with this
     * [mean].
     */
    public fun logEvidenceAgainst(
        mean: Double,
        sample: Sample,
    ): Double {
        val misses = sample.count - sample.sum
        val mixture = Beta.logBeta(PRIOR + sample.sum, PRIOR + misses) - Beta.logBeta(PRIOR, PRIOR)
        return mixture - logLikelihood(mean, sample)
    }

    /**
     * Natural logarithm of the evidence against `mean(candidate) <= mean(reference) + margin`: the minimum, over all
     * pairs of means that satisfy it, of the product of the evidence against each. 0 if the samples satisfy it.
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
        return minimum(0.0, 1.0 - margin, evidence).coerceAtLeast(0.0)
    }

    /** Natural logarithm of the evidence against `mean(sample) <= mean`. */
    public fun logEvidenceAbove(
        mean: Double,
        sample: Sample,
    ): Double = if (sample.mean <= mean) 0.0 else logEvidenceAgainst(mean, sample).coerceAtLeast(0.0)

    private fun logLikelihood(
        mean: Double,
        sample: Sample,
    ): Double {
        val clampedMean = mean.coerceIn(SMALLEST_MEAN, 1 - SMALLEST_MEAN)
        return sample.sum * ln(clampedMean) + (sample.count - sample.sum) * ln(1 - clampedMean)
    }

    /**
     * Minimum of [function] by ternary search, which requires that it is convex; the evidence is convex in the mean.
     */
    private fun minimum(
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
