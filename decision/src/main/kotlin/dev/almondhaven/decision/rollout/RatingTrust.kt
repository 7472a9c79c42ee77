package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.Tally

/**
 * Tells time buckets in which the rating service itself is to blame: a version that turns bad loses quality alone, a
 * rating service that fails or turns hostile lowers the ratings of most versions at once.
 */
public object RatingTrust {
    private const val LEAST_RATINGS = 10
    private const val DROP = 0.15
    private const val SUSPICIOUS_SHARE = 0.5
    private const val LEAST_SUBJECTS = 2

    /** Buckets whose ratings are to be left out. */
    public fun distrustedBuckets(evidence: EvidenceTotals): Set<Long> {
        val subjects = evidence.subjects.toList()
        val past = HashMap<EvidenceSubject, Tally>()
        val distrusted = HashSet<Long>()
        for (bucket in subjects.flatMap { evidence.buckets(it).keys }.toSortedSet()) {
            val rated = subjects.filter { (evidence.buckets(it)[bucket]?.ratings ?: 0) >= LEAST_RATINGS }
            val comparable = rated.filter { (past[it]?.ratings ?: 0) >= LEAST_RATINGS }
            val dropped =
                comparable.filter {
                    mean(evidence.buckets(it).getValue(bucket)) <
                        mean(past.getValue(it)) - DROP
                }
            val versions = comparable.map { it.version }.distinct().size
            val droppedVersions = dropped.map { it.version }.distinct().size
            if (versions >= LEAST_SUBJECTS && droppedVersions > versions * SUSPICIOUS_SHARE) {
                distrusted += bucket
            } else {
                rated.forEach { past.merge(it, evidence.buckets(it).getValue(bucket), Tally::plus) }
            }
        }
        return distrusted
    }

    private fun mean(tally: Tally): Double = tally.ratingSum / tally.ratings
}
