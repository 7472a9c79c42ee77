package dev.almondhaven.decision.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.model.TaskClass
import kotlin.math.pow
import kotlin.math.sqrt

/**
 * Bayesian estimate of the quality and latency of a version's answers in one task class.
 *
 * @property quality posterior mean, from 0 to 1.
 * @property deviation posterior standard deviation of [quality].
 * @property ratings time-decayed number of ratings that the estimate is based on, without the prior.
 * @property acceptance expected share of answers at or above each confidence band.
 * @property acceptedQuality expected quality of the answers at or above each confidence band.
 * @property millisecondsPerToken expected time per output token, which includes a share of the time to the first token.
 * @property escalatedQuality expected quality for requests whose first answer, by another version, was not accepted.
 */
public class VersionEstimate(
    public val quality: Double,
    public val deviation: Double,
    public val ratings: Double,
    private val acceptance: DoubleArray,
    private val acceptedQuality: DoubleArray,
    public val millisecondsPerToken: Double,
    public val escalatedQuality: Double = quality,
) {
    /** Expected share of answers at or above [band]. */
    public fun acceptance(band: ConfidenceBand): Double = acceptance[band.ordinal]

    /** Expected quality of answers at or above [band]. */
    public fun acceptedQuality(band: ConfidenceBand): Double = acceptedQuality[band.ordinal]

    public companion object {
        /** Half-life of a rating's weight, in milliseconds. */
        public const val HALF_LIFE_MILLIS: Double = 12.0 * 3_600_000

        private const val DEFAULT_MILLISECONDS_PER_TOKEN = 30.0
        private const val BAND_PRIOR_WEIGHT = 20.0
        private const val MILLISECONDS_OF_FIRST_LATENCY_BAND = 1.0
        private const val OCTAVES_PER_BAND = 0.5
        private const val ESCALATED_PRIOR_LOSS = 0.03
        private const val ESCALATED_PRIOR_WEIGHT = 20.0
        private val PRIOR_BAND_SHARES = doubleArrayOf(0.02, 0.18, 0.4, 0.4)

        /** Distances of the quality from 1 and from 0 above which the band offsets apply in full. */
        private const val FULL_OFFSET_HEADROOM = 0.2
        private const val FULL_OFFSET_FLOOR = 0.4

        /**
         * Prior difference between a band's quality and the version's; the average weighted by the prior shares is 0.
         */
        private val PRIOR_BAND_OFFSETS = doubleArrayOf(-0.4, -0.2, 0.01, 0.1)

        /**
         * The estimate for [version] in [taskClass] from its [buckets] of evidence at [epochMillis].
         *
         * Quality is estimated per confidence band and weighted by the bands' shares. A plain average would be biased:
         * of a cascade's first answers only the confident ones are delivered and rated.
         */
        public fun of(
            version: ModelVersion,
            taskClass: TaskClass,
            buckets: Map<Long, Tally>,
            epochMillis: Long,
        ): VersionEstimate {
            val evidence = DecayedEvidence(buckets, epochMillis)
            val bands = ConfidenceBand.ALL.map { bandEstimate(version, taskClass, evidence, it.ordinal) }
            val acceptance = DoubleArray(bands.size)
            val acceptedQuality = DoubleArray(bands.size)
            var share = 0.0
            var quality = 0.0
            for (band in bands.indices.reversed()) {
                share += bands[band].share
                quality += bands[band].share * bands[band].quality
                acceptance[band] = share
                acceptedQuality[band] = quality / share
            }
            return VersionEstimate(
                quality,
                sqrt(bands.sumOf { it.share * it.share * it.variance }),
                evidence.ratings.sum() + evidence.ratingsWithoutConfidence,
                acceptance,
                acceptedQuality,
                millisecondsPerToken(buckets),
                evidence.escalatedMean(quality - ESCALATED_PRIOR_LOSS, ESCALATED_PRIOR_WEIGHT),
            )
        }

        private fun bandEstimate(
            version: ModelVersion,
            taskClass: TaskClass,
            evidence: DecayedEvidence,
            band: Int,
        ): BandEstimate {
            val answers = BAND_PRIOR_WEIGHT + evidence.answers.sum()
            val share = (PRIOR_BAND_SHARES[band] * BAND_PRIOR_WEIGHT + evidence.answers[band]) / answers
            val expected = version.quality.of(taskClass)
            val prior = expected + bandOffset(band, expected)
            val weight = version.quality.weight.coerceAtLeast(1.0) * PRIOR_BAND_SHARES[band]
            val weightWithoutConfidence = evidence.ratingsWithoutConfidence * share
            val meanWithoutConfidence = evidence.meanWithoutConfidence(expected)
            val qualityWithoutConfidence = meanWithoutConfidence + bandOffset(band, meanWithoutConfidence)
            val total = weight + evidence.ratings[band] + weightWithoutConfidence
            val quality =
                (prior * weight + evidence.ratingSums[band] + qualityWithoutConfidence * weightWithoutConfidence) /
                    total
            return BandEstimate(share, quality, quality * (1 - quality) / (total + 1))
        }

        /** The offset shrinks near 0 and 1, so that the quality of every band stays within that range. */
        private fun bandOffset(
            band: Int,
            quality: Double,
        ): Double =
            PRIOR_BAND_OFFSETS[band] * minOf(1.0, (1 - quality) / FULL_OFFSET_HEADROOM, quality / FULL_OFFSET_FLOOR)

        private fun millisecondsPerToken(buckets: Map<Long, Tally>): Double {
            val newest =
                buckets.entries
                    .filter { it.value.timedRequests > 0 }
                    .maxByOrNull { it.key }
                    ?.value
            newest ?: return DEFAULT_MILLISECONDS_PER_TOKEN
            return MILLISECONDS_OF_FIRST_LATENCY_BAND * 2.0.pow(newest.latencyQuantileBand(0.5) * OCTAVES_PER_BAND)
        }
    }
}

private class BandEstimate(
    val share: Double,
    val quality: Double,
    val variance: Double,
)

private class DecayedEvidence(
    buckets: Map<Long, Tally>,
    epochMillis: Long,
) {
    val answers = DoubleArray(ConfidenceBand.ALL.size)
    val ratings = DoubleArray(ConfidenceBand.ALL.size)
    val ratingSums = DoubleArray(ConfidenceBand.ALL.size)
    var ratingsWithoutConfidence = 0.0
        private set
    private var ratingSumWithoutConfidence = 0.0
    private var escalatedRatings = 0.0
    private var escalatedRatingSum = 0.0

    init {
        for ((bucket, tally) in buckets) {
            val age = (epochMillis - bucket * EvidencePool.BUCKET_MILLIS).coerceAtLeast(0)
            val weight = 0.5.pow(age / VersionEstimate.HALF_LIFE_MILLIS)
            ratingsWithoutConfidence += weight * tally.ratingsWithoutConfidence
            ratingSumWithoutConfidence += weight * tally.ratingSumWithoutConfidence
            escalatedRatings += weight * tally.escalatedRatings
            escalatedRatingSum += weight * tally.escalatedRatingSum
            for (band in ConfidenceBand.ALL) {
                answers[band.ordinal] += weight * tally.answers(band)
                ratings[band.ordinal] += weight * tally.ratings(band)
                ratingSums[band.ordinal] += weight * tally.ratingSum(band)
            }
        }
    }

    /** Mean rating of answers whose confidence is unknown, or [default] if there are none. */
    fun meanWithoutConfidence(default: Double): Double =
        if (ratingsWithoutConfidence == 0.0) default else ratingSumWithoutConfidence / ratingsWithoutConfidence

    /** Mean rating of escalated requests, where [prior] counts as much as [weight] ratings. */
    fun escalatedMean(
        prior: Double,
        weight: Double,
    ): Double = (prior * weight + escalatedRatingSum) / (weight + escalatedRatings)
}
