package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId
import kotlin.math.ln

/**
 * Upper bounds on the probability of false alarms.
 *
 * @property rollOutFalseAlarm probability that the roll-out of a version within its limits is ever stopped.
 * @property windowFalseAlarm probability that an unchanged version in service is quarantined in one window.
 * @property routers number of routers that each test their own evidence; the bounds hold for all of them together.
 */
public data class TrialLimits(
    public val rollOutFalseAlarm: Double = DEFAULT_ROLL_OUT_FALSE_ALARM,
    public val windowFalseAlarm: Double = DEFAULT_WINDOW_FALSE_ALARM,
    public val routers: Int = 1,
) {
    public companion object {
        public const val DEFAULT_ROLL_OUT_FALSE_ALARM: Double = 0.01
        public const val DEFAULT_WINDOW_FALSE_ALARM: Double = 1e-8
    }
}

/**
 * Evidence of the last seconds or minutes.
 *
 * @property ratingsTrusted whether the ratings in the window may count against a version.
 */
public class TrialWindow(
    public val tallies: Map<EvidenceSubject, Tally>,
    public val ratingsTrusted: Boolean,
)

/**
 * Tests a version's error rate, latency and ratings against its predecessor during the roll-out and against its own
 * past in service. The tests are sequential and stay valid under repeated checks, so they may run on every change of
 * the evidence.
 */
public class VersionTrial(
    private val limits: TrialLimits,
) {
    /**
     * The strongest evidence that [version] exceeds its limits, or null if there isn't enough. Each of the [recent]
     * windows is compared with the version's own past.
     */
    public fun evaluate(
        version: ModelVersion,
        predecessor: ModelVersion?,
        evidence: EvidenceTotals,
        recent: List<TrialWindow>,
        epochMillis: Long,
    ): TrialEvidence? {
        val currentBucket = EvidencePool.bucketOf(epochMillis)
        val inService = recent.flatMap { inServiceResults(version, evidence, it, currentBucket) }
        val results = rollOutResults(version, predecessor, evidence, currentBucket) + inService
        return results.filter { it.logEvidence > it.threshold }.maxByOrNull { it.logEvidence - it.threshold }
    }

    private fun rollOutResults(
        version: ModelVersion,
        predecessor: ModelVersion?,
        evidence: EvidenceTotals,
        currentBucket: Long,
    ): List<TrialEvidence> {
        val rollOut = version.rollOut ?: return emptyList()
        predecessor ?: return emptyList()
        val rollOutBuckets = EvidencePool.bucketOf(rollOut.startedAt)..currentBucket
        val classes = evidence.taskClasses(version.id, version.definedIn)
        val threshold = threshold(limits.rollOutFalseAlarm, classes.size)
        return classes.flatMap { taskClass ->
            val candidate = evidence.sum(subject(version, taskClass), rollOutBuckets)
            val reference = evidence.sum(subject(predecessor, taskClass), rollOutBuckets)
            results(candidate, reference, rollOut, TrialReference.PREDECESSOR, threshold)
        }
    }

    private fun inServiceResults(
        version: ModelVersion,
        evidence: EvidenceTotals,
        recent: TrialWindow,
        currentBucket: Long,
    ): List<TrialEvidence> {
        val past = pastBuckets(currentBucket)
        val margins = version.rollOut ?: IN_SERVICE_MARGINS
        val classes = evidence.taskClasses(version.id, version.definedIn)
        val threshold = threshold(limits.windowFalseAlarm, classes.size)
        val results =
            classes.flatMap { taskClass ->
                val subject = subject(version, taskClass)
                val candidate = recent.tallies[subject] ?: Tally.EMPTY
                results(candidate, evidence.sum(subject, past), margins, TrialReference.OWN_PAST, threshold)
            }
        return if (recent.ratingsTrusted) results else results.filterNot { it.measure == TrialMeasure.RATINGS }
    }

    private fun results(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        referenceKind: TrialReference,
        threshold: Double,
    ): List<TrialEvidence> {
        if (reference.requests == 0L || candidate.requests == 0L) return emptyList()
        return listOf(
            testIncrease(
                TrialMeasure.ERROR_RATE,
                Sample(candidate.requests, candidate.errors.toDouble()),
                Sample(reference.requests, reference.errors.toDouble()),
                margins.maximumErrorIncrease,
                referenceKind,
                threshold,
            ),
            testIncrease(
                TrialMeasure.RATINGS,
                qualityLoss(candidate),
                qualityLoss(reference),
                margins.maximumQualityLoss,
                referenceKind,
                threshold,
            ),
            testLatency(candidate, reference, margins, referenceKind, threshold),
            testLowRatings(candidate, reference, margins, referenceKind, threshold),
        )
    }

    private fun testIncrease(
        measure: TrialMeasure,
        candidate: Sample,
        reference: Sample,
        margin: Double,
        referenceKind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val logEvidence = MixtureTest.logEvidenceOfIncrease(candidate, reference, margin)
        return trialEvidence(measure, referenceKind, logEvidence, threshold, candidate, reference)
    }

    /**
     * Compares the share of answers above a latency band. A version that is at most `maximumLatencyRatio` times as
     * slow as the reference has no larger share of answers above that multiple of a band than the reference has above
     * the band.
     */
    private fun testLatency(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        referenceKind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val referenceBand = reference.latencyQuantileBand(REFERENCE_QUANTILE)
        val slowBand = referenceBand + 1 + Tally.latencyBandsSpanned(margins.maximumLatencyRatio)
        val slow = if (slowBand >= Tally.LATENCY_BANDS) 0 else candidate.slowerThan(slowBand)
        val candidateSample = Sample(candidate.timedRequests, slow.toDouble())
        val referenceSample = Sample(reference.timedRequests, reference.slowerThan(referenceBand + 1).toDouble())
        return testIncrease(
            TrialMeasure.LATENCY,
            candidateSample,
            referenceSample,
            QUANTILE_MARGIN,
            referenceKind,
            threshold,
        )
    }

    /**
     * Compares the share of ratings below a rating band. A version whose ratings are lower by at most
     * `maximumQualityLoss` has no larger share of them that far below a band than the reference has below the band.
     * This detects a shift of all ratings with far fewer ratings than a comparison of means needs.
     */
    private fun testLowRatings(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        referenceKind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val referenceBand = reference.ratingQuantileBand(REFERENCE_QUANTILE)
        val lowBand = referenceBand - 1 - Tally.ratingBandsSpanned(margins.maximumQualityLoss)
        val low = if (lowBand < 0) 0 else candidate.ratedAtMost(lowBand)
        val candidateSample = Sample(candidate.ratings, low.toDouble())
        val lowInReference = if (referenceBand == 0) 0 else reference.ratedAtMost(referenceBand - 1)
        val referenceSample = Sample(reference.ratings, lowInReference.toDouble())
        return testIncrease(
            TrialMeasure.RATINGS,
            candidateSample,
            referenceSample,
            QUANTILE_MARGIN,
            referenceKind,
            threshold,
        )
    }

    private fun trialEvidence(
        measure: TrialMeasure,
        referenceKind: TrialReference,
        logEvidence: Double,
        threshold: Double,
        candidate: Sample,
        reference: Sample,
    ): TrialEvidence =
        TrialEvidence(
            measure,
            referenceKind,
            logEvidence,
            threshold,
            candidate.count,
            candidate.mean,
            reference.count,
            reference.mean,
        )

    private fun qualityLoss(tally: Tally): Sample =
        Sample(tally.ratings, (tally.ratings - tally.ratingSum).coerceIn(0.0, tally.ratings.toDouble()))

    private fun subject(
        version: ModelVersion,
        taskClass: TaskClass,
    ): EvidenceSubject = EvidenceSubject(version.id, version.definedIn, taskClass)

    /** Threshold of the log evidence, by the union bound over measures, task classes and routers. */
    private fun threshold(
        falseAlarm: Double,
        classes: Int,
    ): Double = ln(TESTS_PER_CLASS * maxOf(1, classes) * maxOf(1, limits.routers) / falseAlarm)

    public companion object {
        /** Number of the newest buckets, which are not part of a version's past. */
        private const val RECENT_BUCKETS = 2

        /** Number of buckets in the past that a version is compared with: one day. */
        private const val PAST_BUCKETS = 144

        /** The buckets of a version's past, as seen from bucket [currentBucket]. */
        public fun pastBuckets(currentBucket: Long): LongRange =
            (currentBucket - RECENT_BUCKETS - PAST_BUCKETS + 1)..(currentBucket - RECENT_BUCKETS)

        private const val TESTS_PER_CLASS = 4.0
        private const val REFERENCE_QUANTILE = 0.75
        private const val QUANTILE_MARGIN = 0.05

        private val IN_SERVICE_MARGINS =
            RollOut(
                predecessor = VersionId("none"),
                steps = emptyList(),
            )
    }
}
