package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.rollout.MixtureTest
import dev.almondhaven.decision.rollout.Sample
import kotlin.math.ln

/**
 * Answers of the old and the new version of a service since a roll-out began. Not safe for use from several threads.
 */
public class CanaryComparison {
    private var oldAnswers = 0L
    private var oldFailures = 0L
    private var newAnswers = 0L
    private var newFailures = 0L

    /** Notes an answer of an endpoint. */
    public fun record(
        isCanary: Boolean,
        failed: Boolean,
    ) {
        if (isCanary) {
            newAnswers++
            if (failed) newFailures++
        } else {
            oldAnswers++
            if (failed) oldFailures++
        }
    }

    /** Whether the new version fails so much more often than the old one that chance does not explain it. */
    public fun isCanaryWorse(): Boolean {
        if (newFailures < FEWEST_FAILURES) return false
        val usual = if (oldAnswers == 0L) 0.0 else oldFailures.toDouble() / oldAnswers
        val bearable = minOf(usual * USUAL_FACTOR + MARGIN, MOST_BEARABLE)
        val sample = Sample(newAnswers, newFailures.toDouble())
        return sample.mean > bearable && MixtureTest.logEvidenceAgainst(bearable, sample) > EVIDENCE
    }

    override fun toString(): String = "old=$oldFailures/$oldAnswers new=$newFailures/$newAnswers"

    private companion object {
        const val FEWEST_FAILURES = 3L

        /** The old version's rate is itself uncertain. */
        const val USUAL_FACTOR = 1.5

        /** A version that fails one request in twenty more often is bad; less is not told from chance in time. */
        const val MARGIN = 0.05
        const val MOST_BEARABLE = 0.9

        /** One good version in a hundred may be taken for bad by one router. */
        val EVIDENCE = ln(100.0)
    }
}
