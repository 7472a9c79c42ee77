package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.rollout.MixtureTest
import dev.almondhaven.decision.rollout.Sample
import kotlin.math.ln

/**
 * Compares the failure rates of a service's old version and of the canary, the new version, since a roll-out began.
 *
 * In a fleet each router sees only a small part of the canary's answers, so a bad version would have to fail many
 * times before any single router could tell. The comparison therefore adds the counts that other routers announce.
 * Not thread-safe.
 */
public class CanaryComparison {
    /** What this router has seen itself. */
    public var ownCounts: CanaryCounts = CanaryCounts()
        private set
    private val announcedCounts = HashMap<String, CanaryCounts>()

    /** What this router has seen and other routers have announced. */
    public val counts: CanaryCounts get() = announcedCounts.values.fold(ownCounts, CanaryCounts::plus)

    /** Records the outcome of a request at an endpoint of either version. */
    public fun record(
        isCanary: Boolean,
        failed: Boolean,
    ) {
        ownCounts = ownCounts.withAnswer(isCanary, failed)
    }

    /**
     * Records what [router] has seen since the roll-out began; false if it is older than what is known. Announcements
     * may arrive out of order; the one with the most answers counts.
     */
    public fun recordAnnounced(
        router: String,
        announced: CanaryCounts,
    ): Boolean {
        val known = announcedCounts[router]
        if (known != null && announced.answers() < known.answers()) return false
        announcedCounts[router] = announced
        return true
    }

    private fun CanaryCounts.answers() = oldAnswers + canaryAnswers

    /**
     * Whether the canary's failure rate exceeds the tolerated rate with statistical significance. This is one of
     * [tests], all of which a good version must pass.
     */
    public fun isCanaryWorse(tests: Int = 1): Boolean {
        require(tests > 0) { "tests must be positive, got $tests" }
        val all = counts
        if (all.canaryFailures < MINIMUM_FAILURES) return false
        val oldRate = if (all.oldAnswers == 0L) 0.0 else all.oldFailures.toDouble() / all.oldAnswers
        val toleratedRate = minOf(oldRate * OLD_RATE_FACTOR + MARGIN, MAXIMUM_TOLERATED_RATE)
        val sample = Sample(all.canaryAnswers, all.canaryFailures.toDouble())
        return sample.mean > toleratedRate &&
            MixtureTest.logEvidenceAgainst(toleratedRate, sample) > ln(REJECTED_GOOD_VERSIONS * tests)
    }

    override fun toString(): String = "$counts own=$ownCounts"

    private companion object {
        const val MINIMUM_FAILURES = 3L

        /** Allows for the uncertainty of the old version's own measured rate. */
        const val OLD_RATE_FACTOR = 1.5

        /** One additional failure in 20 requests makes a version bad; less can't be told from chance in time. */
        const val MARGIN = 0.05
        const val MAXIMUM_TOLERATED_RATE = 0.9

        /** All tests together reject at most one good version in so many. */
        const val REJECTED_GOOD_VERSIONS = 100.0
    }
}
