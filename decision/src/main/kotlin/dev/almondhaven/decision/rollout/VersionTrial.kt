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
 * Bounds on false alarms.
 *
 * @property rollOutFalseAlarm probability that a roll-out of a version no worse than its limits is ever stopped.
 * @property windowFalseAlarm probability that a version in service that stays as it was is stopped in one window.
 * @property routers routers that test on views of their own; the bounds hold over all of them together.
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
 * @property ratingsTrusted whether its ratings count.
 */
public class TrialWindow(
    public val tallies: Map<EvidenceSubject, Tally>,
    public val ratingsTrusted: Boolean,
)

/**
 * Tests a version's error rate, latency and ratings against its predecessor during the roll-out and against its own
 * past afterwards. Every test is always valid, so it may be run on each change of the evidence.
 */
public class VersionTrial(
    private val limits: TrialLimits,
) {
    /**
     * The strongest evidence that [version] is bad beyond its limits, or null as long as there isn't enough. Its own past
     * is compared with each of the [recent] windows.
     */
    public fun evaluate(
        version: ModelVersion,
        predecessor: ModelVersion?,
        evidence: EvidenceTotals,
        recent: List<TrialWindow>,
        epochMillis: Long,
    ): TrialEvidence? {
        val now = EvidencePool.bucketOf(epochMillis)
        val inService = recent.flatMap { inServiceFindings(version, evidence, it, now) }
        val findings = rollOutFindings(version, predecessor, evidence, now) + inService
        return findings.filter { it.logEvidence > it.threshold }.maxByOrNull { it.logEvidence - it.threshold }
    }

    private fun rollOutFindings(
        version: ModelVersion,
        predecessor: ModelVersion?,
        evidence: EvidenceTotals,
        now: Long,
    ): List<TrialEvidence> {
        val rollOut = version.rollOut ?: return emptyList()
        predecessor ?: return emptyList()
        val during = EvidencePool.bucketOf(rollOut.startedAt)..now
        val classes = evidence.taskClasses(version.id, version.definedIn)
        val threshold = threshold(limits.rollOutFalseAlarm, classes.size)
        return classes.flatMap { taskClass ->
            val candidate = evidence.sum(subject(version, taskClass), during)
            val reference = evidence.sum(subject(predecessor, taskClass), during)
            findings(candidate, reference, rollOut, TrialReference.PREDECESSOR, threshold)
        }
    }

    private fun inServiceFindings(
        version: ModelVersion,
        evidence: EvidenceTotals,
        recent: TrialWindow,
        now: Long,
    ): List<TrialEvidence> {
        val past = pastBuckets(now)
        val margins = version.rollOut ?: IN_SERVICE_MARGINS
        val classes = evidence.taskClasses(version.id, version.definedIn)
        val threshold = threshold(limits.windowFalseAlarm, classes.size)
        val findings =
            classes.flatMap { taskClass ->
                val subject = subject(version, taskClass)
                val candidate = recent.tallies[subject] ?: Tally.EMPTY
                findings(candidate, evidence.sum(subject, past), margins, TrialReference.OWN_PAST, threshold)
            }
        return if (recent.ratingsTrusted) findings else findings.filterNot { it.measure == TrialMeasure.RATINGS }
    }

    private fun findings(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        kind: TrialReference,
        threshold: Double,
    ): List<TrialEvidence> {
        if (reference.requests == 0L || candidate.requests == 0L) return emptyList()
        return listOf(
            increase(
                TrialMeasure.ERROR_RATE,
                Sample(candidate.requests, candidate.errors.toDouble()),
                Sample(reference.requests, reference.errors.toDouble()),
                margins.maximumErrorIncrease,
                kind,
                threshold,
            ),
            increase(
                TrialMeasure.RATINGS,
                lostQuality(candidate),
                lostQuality(reference),
                margins.maximumQualityLoss,
                kind,
                threshold,
            ),
            latency(candidate, reference, margins, kind, threshold),
            lowRatings(candidate, reference, margins, kind, threshold),
        )
    }

    private fun increase(
        measure: TrialMeasure,
        candidate: Sample,
        reference: Sample,
        margin: Double,
        kind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val logEvidence = MixtureTest.logEvidenceOfIncrease(candidate, reference, margin)
        return evidence(measure, kind, logEvidence, threshold, candidate, reference)
    }

    /**
     * If the version were at most `maximumLatencyRatio` times as slow, at most as large a share of its answers would be
     * slower than that multiple of a band as the reference has above the band.
     */
    private fun latency(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        kind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val usual = reference.latencyQuantileBand(USUAL_SHARE)
        val slowBand = usual + 1 + Tally.bandsOfRatio(margins.maximumLatencyRatio)
        val slow = if (slowBand >= Tally.LATENCY_BANDS) 0 else candidate.slowerThan(slowBand)
        val candidateSample = Sample(candidate.timedRequests, slow.toDouble())
        val referenceSample = Sample(reference.timedRequests, reference.slowerThan(usual + 1).toDouble())
        return increase(TrialMeasure.LATENCY, candidateSample, referenceSample, QUANTILE_MARGIN, kind, threshold)
    }

    /**
     * If the version's ratings were lower by `maximumQualityLoss` at most, at most as large a share of them would lie
     * that far below a band as the reference has below it. Finds a shift of all ratings on far fewer than the mean does.
     */
    private fun lowRatings(
        candidate: Tally,
        reference: Tally,
        margins: RollOut,
        kind: TrialReference,
        threshold: Double,
    ): TrialEvidence {
        val usual = reference.ratingQuantileBand(USUAL_SHARE)
        val lowBand = usual - 1 - Tally.bandsOfRatingDifference(margins.maximumQualityLoss)
        val low = if (lowBand < 0) 0 else candidate.ratedAtMost(lowBand)
        val candidateSample = Sample(candidate.ratings, low.toDouble())
        val usuallyLow = if (usual == 0) 0 else reference.ratedAtMost(usual - 1)
        val referenceSample = Sample(reference.ratings, usuallyLow.toDouble())
        return increase(TrialMeasure.RATINGS, candidateSample, referenceSample, QUANTILE_MARGIN, kind, threshold)
    }

    private fun evidence(
        measure: TrialMeasure,
        kind: TrialReference,
        logEvidence: Double,
        threshold: Double,
        candidate: Sample,
        reference: Sample,
    ): TrialEvidence =
        TrialEvidence(
            measure,
            kind,
            logEvidence,
            threshold,
            candidate.count,
            candidate.mean,
            reference.count,
            reference.mean,
        )

    private fun lostQuality(tally: Tally): Sample =
        Sample(tally.ratings, (tally.ratings - tally.ratingSum).coerceIn(0.0, tally.ratings.toDouble()))

    private fun subject(
        version: ModelVersion,
        taskClass: TaskClass,
    ): EvidenceSubject = EvidenceSubject(version.id, version.definedIn, taskClass)

    /** By the union bound over measures, task classes and routers. */
    private fun threshold(
        falseAlarm: Double,
        classes: Int,
    ): Double = ln(TESTS_PER_CLASS * maxOf(1, classes) * maxOf(1, limits.routers) / falseAlarm)

    public companion object {
        /** The newest buckets, which a version's past doesn't include. */
        private const val RECENT_BUCKETS = 2

        /** Buckets of its own past that a version is compared with: a day. */
        private const val PAST_BUCKETS = 144

        /** The buckets that count as a version's past in bucket [now]. */
        public fun pastBuckets(now: Long): LongRange = (now - RECENT_BUCKETS - PAST_BUCKETS + 1)..(now - RECENT_BUCKETS)

        private const val TESTS_PER_CLASS = 4.0
        private const val USUAL_SHARE = 0.75
        private const val QUANTILE_MARGIN = 0.05

        private val IN_SERVICE_MARGINS =
            RollOut(
                predecessor = VersionId("none"),
                steps = emptyList(),
            )
    }
}
