package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.model.ModelVersionId

/**
 * Detects periods in which the rating service itself is faulty: a version that degrades loses quality alone, whereas a
 * rating service that fails or turns hostile lowers the ratings of most versions at once.
 */
public object RatingAnomalyDetector {
    private const val MINIMUM_RATINGS = 10
    private const val MINIMUM_WINDOW_RATINGS = 3

    /** Decrease of a version's mean rating above which it counts as dropped. */
    private const val DROP_THRESHOLD = 0.15

    /** The rating service is suspected if more than this share of the compared versions dropped. */
    private const val SUSPICIOUS_SHARE = 0.5
    private const val MINIMUM_VERSIONS = 2

    /** Time buckets whose ratings must be ignored. */
    public fun distrustedBuckets(evidence: EvidenceTotals): Set<Long> {
        val subjects = evidence.subjects.toList()
        val past = HashMap<EvidenceSubject, Tally>()
        val distrusted = HashSet<Long>()
        for (bucket in subjects.flatMap { evidence.buckets(it).keys }.toSortedSet()) {
            val rated =
                subjects
                    .mapNotNull { subject -> evidence.buckets(subject)[bucket]?.let { subject to it } }
                    .filter { it.second.ratings >= MINIMUM_RATINGS }
            if (droppedTogether(rated) { past[it] }) {
                distrusted += bucket
            } else {
                rated.forEach { (subject, tally) -> past.merge(subject, tally, Tally::plus) }
            }
        }
        return distrusted
    }

    /** Whether the ratings in [window] are trusted, compared with those of the [past] buckets. */
    public fun trustsRatings(
        window: Map<EvidenceSubject, Tally>,
        evidence: EvidenceTotals,
        past: LongRange,
    ): Boolean {
        val rated = window.toList().filter { it.second.ratings >= MINIMUM_WINDOW_RATINGS }
        return !droppedTogether(rated) { evidence.sum(it, past) }
    }

    private fun droppedTogether(
        rated: List<Pair<EvidenceSubject, Tally>>,
        past: (EvidenceSubject) -> Tally?,
    ): Boolean {
        val dropByVersion = HashMap<ModelVersionId, Boolean>()
        for ((subject, tally) in rated) {
            val before = past(subject)?.takeIf { it.ratings >= MINIMUM_RATINGS } ?: continue
            dropByVersion.merge(subject.version, mean(tally) < mean(before) - DROP_THRESHOLD, Boolean::or)
        }
        return dropByVersion.size >= MINIMUM_VERSIONS &&
            dropByVersion.values.count { it } > dropByVersion.size * SUSPICIOUS_SHARE
    }

    private fun mean(tally: Tally): Double = tally.ratingSum / tally.ratings
}
