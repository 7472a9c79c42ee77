package dev.almondhaven.decision.choice

import kotlin.math.ln

/**
 * Immutable counters of the outcomes of a version's requests. One router's counters only grow, so two snapshots of
 * its tally merge by taking the maximum of each counter (a grow-only counter CRDT). Tallies of different routers are
 * summed.
 */
public class Tally private constructor(
    private val counters: LongArray,
) {
    /** Requests that were executed. */
    public val requests: Long get() = counters[REQUESTS]

    /** Requests that ended in an endpoint error. */
    public val errors: Long get() = counters[ERRORS]

    /** Number of ratings, without those of escalated requests. */
    public val ratings: Long get() = ratingsWithoutConfidence + ConfidenceBand.ALL.sumOf { ratings(it) }

    /** Sum of the [ratings], each from 0 to 1. */
    public val ratingSum: Double get() = ratingSumWithoutConfidence + ConfidenceBand.ALL.sumOf { ratingSum(it) }

    /** Number of ratings of answers whose confidence is unknown. */
    public val ratingsWithoutConfidence: Long get() = counters[RATINGS_WITHOUT_CONFIDENCE]

    /** Sum of the ratings of answers whose confidence is unknown. */
    public val ratingSumWithoutConfidence: Double get() = counters[RATING_SUM_WITHOUT_CONFIDENCE] / RATING_UNITS

    /** Number of requests whose latency is known. */
    public val timedRequests: Long get() = (0 until LATENCY_BANDS).sumOf { counters[LATENCIES + it] }

    /** Number of answers whose confidence was [band]. */
    public fun answers(band: ConfidenceBand): Long = counters[ANSWERS + band.ordinal]

    /** Number of ratings of answers whose confidence was [band]. */
    public fun ratings(band: ConfidenceBand): Long = counters[RATINGS + band.ordinal]

    /** Sum of the ratings of answers whose confidence was [band]. */
    public fun ratingSum(band: ConfidenceBand): Double = counters[RATING_SUMS + band.ordinal] / RATING_UNITS

    /** Number of ratings of requests escalated to the version, which are harder than its other requests. */
    public val escalatedRatings: Long get() = counters[ESCALATED_RATINGS]

    /** Sum of the ratings of requests escalated to the version. */
    public val escalatedRatingSum: Double get() = counters[ESCALATED_RATING_SUM] / RATING_UNITS

    /** Number of requests in latency band [band] or a slower one. */
    public fun slowerThan(band: Int): Long = (band until LATENCY_BANDS).sumOf { counters[LATENCIES + it] }

    /** Number of the [ratings] in rating band [band] or a lower one. */
    public fun ratedAtMost(band: Int): Long = (0..band).sumOf { counters[RATING_HISTOGRAM + it] }

    /** The highest rating band such that at least [share] of the [ratings] are in it or above. */
    public fun ratingQuantileBand(share: Double): Int {
        val required = ratings * share
        return (RATING_BANDS - 1 downTo 1).firstOrNull { ratings - ratedAtMost(it - 1) >= required } ?: 0
    }

    /** The lowest latency band such that at least [share] of the [timedRequests] are in it or below. */
    public fun latencyQuantileBand(share: Double): Int {
        val required = timedRequests * share
        var cumulative = 0L
        for (band in 0 until LATENCY_BANDS) {
            cumulative += counters[LATENCIES + band]
            if (cumulative >= required) return band
        }
        return LATENCY_BANDS - 1
    }

    /** A copy with one more completed request. */
    public fun plusRequest(
        failed: Boolean,
        millisecondsPerToken: Double?,
        confidence: ConfidenceBand?,
    ): Tally {
        val next = counters.copyOf()
        next[REQUESTS]++
        if (failed) next[ERRORS]++
        millisecondsPerToken?.let { next[LATENCIES + latencyBand(it)]++ }
        confidence?.let { next[ANSWERS + it.ordinal]++ }
        return Tally(next)
    }

    /** A copy with one more [rating], from 0 to 1, of an answer; [confidence] is null if unknown. */
    public fun plusRating(
        rating: Double,
        confidence: ConfidenceBand?,
    ): Tally {
        require(rating in 0.0..1.0) { "rating must be from 0 to 1, got $rating" }
        val next = counters.copyOf()
        next[if (confidence == null) RATINGS_WITHOUT_CONFIDENCE else RATINGS + confidence.ordinal]++
        val sum = if (confidence == null) RATING_SUM_WITHOUT_CONFIDENCE else RATING_SUMS + confidence.ordinal
        next[sum] += Math.round(rating * RATING_UNITS)
        next[RATING_HISTOGRAM + ratingBand(rating)]++
        return Tally(next)
    }

    /** A copy with one more [rating], from 0 to 1, of a request that was escalated to the version. */
    public fun plusEscalatedRating(rating: Double): Tally {
        require(rating in 0.0..1.0) { "rating must be from 0 to 1, got $rating" }
        val next = counters.copyOf()
        next[ESCALATED_RATINGS]++
        next[ESCALATED_RATING_SUM] += Math.round(rating * RATING_UNITS)
        return Tally(next)
    }

    /** Merges two snapshots of the same router's tally. */
    public fun merge(other: Tally): Tally = Tally(LongArray(SIZE) { maxOf(counters[it], other.counters[it]) })

    /** Adds the tally of another router or time bucket. */
    public operator fun plus(other: Tally): Tally = Tally(LongArray(SIZE) { counters[it] + other.counters[it] })

    /** The difference to [other], an earlier snapshot of the same tally. */
    public operator fun minus(other: Tally): Tally = Tally(LongArray(SIZE) { counters[it] - other.counters[it] })

    /** Whether [merge] with [other] would change nothing. */
    public fun covers(other: Tally): Boolean = counters.indices.all { counters[it] >= other.counters[it] }

    /** Compact text for messages: `index:count` for each counter that isn't zero, the count in base 36. */
    public fun toText(): String =
        counters.indices
            .filter { counters[it] != 0L }
            .joinToString(",") { "$it:${counters[it].toString(RADIX)}" }

    override fun equals(other: Any?): Boolean = other is Tally && counters.contentEquals(other.counters)

    override fun hashCode(): Int = counters.contentHashCode()

    override fun toString(): String = "Tally(${toText()})"

    public companion object {
        /** Positions of the counters; each confidence, latency or rating band has a counter of its own. */
        private const val REQUESTS = 0
        private const val ERRORS = 1
        private const val ANSWERS = 2
        private const val RATINGS = 6
        private const val RATING_SUMS = 10
        private const val RATINGS_WITHOUT_CONFIDENCE = 14
        private const val RATING_SUM_WITHOUT_CONFIDENCE = 15
        private const val ESCALATED_RATINGS = 16
        private const val ESCALATED_RATING_SUM = 17
        private const val LATENCIES = 18
        private const val RATING_HISTOGRAM = 36
        private const val SIZE = 46
        private const val RADIX = 36

        /** Rating sums are stored in thousandths. */
        private const val RATING_UNITS = 1_000.0

        /** Number of latency bands, each half an octave (a factor of √2) wide; the first one ends at 1 ms per token. */
        public const val LATENCY_BANDS: Int = RATING_HISTOGRAM - LATENCIES

        /** Number of rating bands, each 0.1 wide. */
        public const val RATING_BANDS: Int = SIZE - RATING_HISTOGRAM

        private const val BANDS_PER_OCTAVE = 2

        /** The tally of no requests. */
        public val EMPTY: Tally = Tally(LongArray(SIZE))

        /** The sum of [tallies]. */
        public fun sum(tallies: Iterable<Tally>): Tally {
            val sums = LongArray(SIZE)
            for (tally in tallies) {
                for (index in 0 until SIZE) sums[index] += tally.counters[index]
            }
            return Tally(sums)
        }

        /** The latency band that contains [millisecondsPerToken]. */
        public fun latencyBand(millisecondsPerToken: Double): Int {
            if (millisecondsPerToken <= 1.0) return 0
            val octaves = ln(millisecondsPerToken) / ln(2.0)
            return (1 + (octaves * BANDS_PER_OCTAVE).toInt()).coerceAtMost(LATENCY_BANDS - 1)
        }

        /** The rating band that contains [rating]. */
        public fun ratingBand(rating: Double): Int = (rating * RATING_BANDS).toInt().coerceIn(0, RATING_BANDS - 1)

        /** The number of rating bands that a rating [difference] spans, rounded up. */
        public fun ratingBandsSpanned(difference: Double): Int =
            kotlin.math
                .ceil(difference * RATING_BANDS)
                .toInt()
                .coerceAtLeast(1)

        /** The number of latency bands that a latency [ratio] spans, rounded up. */
        public fun latencyBandsSpanned(ratio: Double): Int =
            kotlin.math
                .ceil(ln(ratio) / ln(2.0) * BANDS_PER_OCTAVE)
                .toInt()
                .coerceAtLeast(1)

        /** Parses the output of [toText]; null if [text] is malformed. Counters with an unknown index are ignored. */
        public fun parseOrNull(text: String): Tally? {
            val counters = LongArray(SIZE)
            if (text.isEmpty()) return EMPTY
            for (pair in text.split(',')) {
                val index = pair.substringBefore(':').toIntOrNull() ?: return null
                val count = pair.substringAfter(':').toLongOrNull(RADIX) ?: return null
                if (count < 0) return null
                if (index in 0 until SIZE) counters[index] = count
            }
            return Tally(counters)
        }
    }
}
