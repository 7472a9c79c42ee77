package dev.almondhaven.decision.choice

import kotlin.math.ln

/**
 * Counts of what a version's requests came to. The counters only grow, so that two readings of one router's tally merge
 * by taking the larger of each counter, and tallies of different routers add up.
 */
public class Tally private constructor(
    private val counters: LongArray,
) {
    /** Requests that ran. */
    public val requests: Long get() = counters[REQUESTS]

    /** Requests that ended in an error of the endpoint. */
    public val errors: Long get() = counters[ERRORS]

    /** Ratings that came in, but for those of escalated requests. */
    public val ratings: Long get() = ratingsWithoutConfidence + ConfidenceBand.ALL.sumOf { ratings(it) }

    /** Sum of the [ratings], each from 0 to 1. */
    public val ratingSum: Double get() = ratingSumWithoutConfidence + ConfidenceBand.ALL.sumOf { ratingSum(it) }

    /** Ratings of answers whose confidence isn't known. */
    public val ratingsWithoutConfidence: Long get() = counters[RATINGS_WITHOUT_CONFIDENCE]

    /** Sum of the ratings of answers whose confidence isn't known. */
    public val ratingSumWithoutConfidence: Double get() = counters[RATING_SUM_WITHOUT_CONFIDENCE] / RATING_UNITS

    /** Requests whose latency is known. */
    public val timedRequests: Long get() = (0 until LATENCY_BANDS).sumOf { counters[LATENCIES + it] }

    /** Answers whose confidence was [band]. */
    public fun answers(band: ConfidenceBand): Long = counters[ANSWERS + band.ordinal]

    /** Ratings of answers whose confidence was [band]. */
    public fun ratings(band: ConfidenceBand): Long = counters[RATINGS + band.ordinal]

    /** Sum of the ratings of answers whose confidence was [band]. */
    public fun ratingSum(band: ConfidenceBand): Double = counters[RATING_SUMS + band.ordinal] / RATING_UNITS

    /** Ratings of answers to requests that were escalated to the version; they are harder than the usual ones. */
    public val escalatedRatings: Long get() = counters[ESCALATED_RATINGS]

    /** Sum of the ratings of answers to requests that were escalated to the version. */
    public val escalatedRatingSum: Double get() = counters[ESCALATED_RATING_SUM] / RATING_UNITS

    /** Requests in latency band [band] or slower. */
    public fun slowerThan(band: Int): Long = (band until LATENCY_BANDS).sumOf { counters[LATENCIES + it] }

    /** The [ratings] in rating band [band] or lower. */
    public fun ratedAtMost(band: Int): Long = (0..band).sumOf { counters[RATING_HISTOGRAM + it] }

    /** The highest rating band that at least [share] of the [ratings] don't fall short of. */
    public fun ratingQuantileBand(share: Double): Int {
        val wanted = ratings * share
        return (RATING_BANDS - 1 downTo 1).firstOrNull { ratings - ratedAtMost(it - 1) >= wanted } ?: 0
    }

    /** The lowest latency band that at least [share] of the timed requests don't exceed. */
    public fun latencyQuantileBand(share: Double): Int {
        val wanted = timedRequests * share
        var seen = 0L
        for (band in 0 until LATENCY_BANDS) {
            seen += counters[LATENCIES + band]
            if (seen >= wanted) return band
        }
        return LATENCY_BANDS - 1
    }

    /** With one more ended request. */
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

    /** With one more rating, from 0 to 1, of an answer whose confidence was [confidence], if that is known. */
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

    /** With one more rating, from 0 to 1, of an answer to a request that was escalated to the version. */
    public fun plusEscalatedRating(rating: Double): Tally {
        require(rating in 0.0..1.0) { "rating must be from 0 to 1, got $rating" }
        val next = counters.copyOf()
        next[ESCALATED_RATINGS]++
        next[ESCALATED_RATING_SUM] += Math.round(rating * RATING_UNITS)
        return Tally(next)
    }

    /** The later of two readings of one router's tally. */
    public fun merge(other: Tally): Tally = Tally(LongArray(SIZE) { maxOf(counters[it], other.counters[it]) })

    /** The sum of two routers' or two buckets' tallies. */
    public operator fun plus(other: Tally): Tally = Tally(LongArray(SIZE) { counters[it] + other.counters[it] })

    /** What this reading counts beyond the earlier reading [other]. */
    public operator fun minus(other: Tally): Tally = Tally(LongArray(SIZE) { counters[it] - other.counters[it] })

    /** Whether [merge] with [other] would change nothing. */
    public fun covers(other: Tally): Boolean = counters.indices.all { counters[it] >= other.counters[it] }

    /** Compact text for messages: `index:count` of the counters that aren't zero. */
    public fun toText(): String =
        counters.indices
            .filter { counters[it] != 0L }
            .joinToString(",") { "$it:${counters[it].toString(RADIX)}" }

    override fun equals(other: Any?): Boolean = other is Tally && counters.contentEquals(other.counters)

    override fun hashCode(): Int = counters.contentHashCode()

    override fun toString(): String = "Tally(${toText()})"

    public companion object {
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

        /** A rating is counted in thousandths. */
        private const val RATING_UNITS = 1_000.0

        /** Latency bands, each half an octave wide, the first one up to a millisecond per token. */
        public const val LATENCY_BANDS: Int = RATING_HISTOGRAM - LATENCIES

        /** Bands of ratings, each a tenth wide. */
        public const val RATING_BANDS: Int = SIZE - RATING_HISTOGRAM

        private const val BANDS_PER_OCTAVE = 2

        /** No request at all. */
        public val EMPTY: Tally = Tally(LongArray(SIZE))

        /** The sum of [tallies]. */
        public fun sum(tallies: Iterable<Tally>): Tally {
            val sums = LongArray(SIZE)
            for (tally in tallies) {
                for (index in 0 until SIZE) sums[index] += tally.counters[index]
            }
            return Tally(sums)
        }

        /** The latency band of [millisecondsPerToken]. */
        public fun latencyBand(millisecondsPerToken: Double): Int {
            if (millisecondsPerToken <= 1.0) return 0
            val octaves = ln(millisecondsPerToken) / ln(2.0)
            return (1 + (octaves * BANDS_PER_OCTAVE).toInt()).coerceAtMost(LATENCY_BANDS - 1)
        }

        /** The rating band of [rating]. */
        public fun ratingBand(rating: Double): Int = (rating * RATING_BANDS).toInt().coerceIn(0, RATING_BANDS - 1)

        /** Bands by which ratings differ whose difference is [difference], rounded up. */
        public fun bandsOfRatingDifference(difference: Double): Int =
            kotlin.math
                .ceil(difference * RATING_BANDS)
                .toInt()
                .coerceAtLeast(1)

        /** Bands by which latencies differ whose ratio is [ratio], rounded up. */
        public fun bandsOfRatio(ratio: Double): Int =
            kotlin.math
                .ceil(ln(ratio) / ln(2.0) * BANDS_PER_OCTAVE)
                .toInt()
                .coerceAtLeast(1)

        /** Reads what [toText] wrote; null when [text] is something else. Counters it doesn't know are left out. */
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
