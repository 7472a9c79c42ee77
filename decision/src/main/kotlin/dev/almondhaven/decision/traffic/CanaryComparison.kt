package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.rollout.MixtureTest
import dev.almondhaven.decision.rollout.Sample
import kotlin.math.ln

/**
 * Compares the failure rates of a service's old version and of the canary, the new version, since a roll-out began.
 * Not thread-safe.
 */
public class CanaryComparison {
    private var oldAnswers = 0L
    private var oldFailures = 0L
    private var canaryAnswers = 0L
    private var canaryFailures = 0L

    /** Records the outcome of a request at an endpoint of either version. */
    public fun record(
        isCanary: Boolean,
        failed: Boolean,
    ) {
        if (isCanary) {
            canaryAnswers++
            if (failed) canaryFailures++
        } else {
            oldAnswers++
            if (failed) oldFailures++
        }
    }

    /** Whether the canary's failure rate exceeds the tolerated rate with statistical significance. */
    public fun isCanaryWorse(): Boolean {
        if (canaryFailures < MINIMUM_FAILURES) return false
        val oldRate = if (oldAnswers == 0L) 0.0 else oldFailures.toDouble() / oldAnswers
        val toleratedRate = minOf(oldRate * OLD_RATE_FACTOR + MARGIN, MAXIMUM_TOLERATED_RATE)
        val sample = Sample(canaryAnswers, canaryFailures.toDouble())
        return sample.mean > toleratedRate &&
            MixtureTest.logEvidenceAgainst(toleratedRate, sample) > LOG_EVIDENCE_THRESHOLD
    }

    override fun toString(): String = "old=$oldFailures/$oldAnswers new=$canaryFailures/$canaryAnswers"

    private companion object {
        const val MINIMUM_FAILURES = 3L

        /** Allows for the uncertainty of the old version's own measured rate. */
        const val OLD_RATE_FACTOR = 1.5

        /** One additional failure in 20 requests makes a version bad; less can't be told from chance in time. */
        const val MARGIN = 0.05
        const val MAXIMUM_TOLERATED_RATE = 0.9

        /** A single router rejects at most one good version in a hundred. */
        val LOG_EVIDENCE_THRESHOLD = ln(100.0)
    }
}
