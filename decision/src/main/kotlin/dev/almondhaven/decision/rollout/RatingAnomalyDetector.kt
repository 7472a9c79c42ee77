package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.model.ModelVersionId

/**
 * Tells times in which the rating service itself is to blame: a version that turns bad loses quality alone, a rating
 * service that fails or turns hostile lowers the ratings of most versions at once.
 */
public object RatingAnomalyDetector {
    private const val LEAST_RATINGS = 10
    private const val LEAST_WINDOW_RATINGS = 3
    private const val DROP = 0.15
    private const val SUSPICIOUS_SHARE = 0.5
    private const val LEAST_VERSIONS = 2

    /** Buckets whose ratings are to be left out. */
    public fun distrustedBuckets(evidence: EvidenceTotals): Set<Long> {
        val subjects = evidence.subjects.toList()
        val past = HashMap<EvidenceSubject, Tally>()
        val distrusted = HashSet<Long>()
        for (bucket in subjects.flatMap { evidence.buckets(it).keys }.toSortedSet()) {
            val rated =
                subjects
                    .mapNotNull { subject -> evidence.buckets(subject)[bucket]?.let { subject to it } }
                    .filter { it.second.ratings >= LEAST_RATINGS }
            if (fellTogether(rated) { past[it] }) {
                distrusted += bucket
            } else {
                rated.forEach { (subject, tally) -> past.merge(subject, tally, Tally::plus) }
            }
        }
        return distrusted
    }

    /** Whether the ratings of a [window] may count against versions, given their [past]. */
    public fun trustsRatings(
        window: Map<EvidenceSubject, Tally>,
        evidence: EvidenceTotals,
        past: LongRange,
    ): Boolean {
        val rated = window.toList().filter { it.second.ratings >= LEAST_WINDOW_RATINGS }
        return !fellTogether(rated) { evidence.sum(it, past) }
    }

    private fun fellTogether(
        rated: List<Pair<EvidenceSubject, Tally>>,
        past: (EvidenceSubject) -> Tally?,
    ): Boolean {
        val fell = HashMap<ModelVersionId, Boolean>()
        for ((subject, tally) in rated) {
            val before = past(subject)?.takeIf { it.ratings >= LEAST_RATINGS } ?: continue
            fell.merge(subject.version, mean(tally) < mean(before) - DROP, Boolean::or)
        }
        return fell.size >= LEAST_VERSIONS && fell.values.count { it } > fell.size * SUSPICIOUS_SHARE
    }

    private fun mean(tally: Tally): Double = tally.ratingSum / tally.ratings
}
