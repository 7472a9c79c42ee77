package dev.almondhaven.decision.traffic

import kotlin.math.exp
import kotlin.math.ln

/**
 * Tells which answers of a service took much longer than is usual for its current version.
 *
 * Load pattern: a new version whose answers are right but slow, so that no request fails. The time of an answer is
 * compared with the time that its work was expected to take; the usual ratio of the two is learned for each kind of
 * work, since expectations are off by a factor that differs between kinds.
 *
 * Only answers of endpoints without a queue tell anything: the few requests of a canary find none, so that behind
 * queues at the current version's endpoints a slow canary would look fast. Not thread-safe.
 */
public class AnswerTimes {
    private class Usual(
        var answers: Int = 0,
        var logRatio: Double = 0.0,
    )

    private val usualByKind = HashMap<String, Usual>()

    /** Learns from an answer of the current version to a request of [kind]. */
    public fun learn(
        kind: String,
        millis: Double,
        expectedMillis: Double,
    ) {
        if (kind !in usualByKind && usualByKind.size >= MAX_KINDS) return
        val usual = usualByKind.getOrPut(kind, ::Usual)
        usual.answers++
        val weight = maxOf(1.0 / usual.answers, LEARNING_WEIGHT)
        usual.logRatio += weight * (ln(ratio(millis, expectedMillis)) - usual.logRatio)
    }

    /** Whether an answer of [kind] was slow; false while too few are known to tell. */
    public fun isSlow(
        kind: String,
        millis: Double,
        expectedMillis: Double,
    ): Boolean {
        val usual = usualByKind[kind]?.takeIf { it.answers >= MIN_ANSWERS } ?: return false
        return ratio(millis, expectedMillis) > SLOW_FACTOR * exp(usual.logRatio)
    }

    private fun ratio(
        millis: Double,
        expectedMillis: Double,
    ): Double = (millis + OVERHEAD_MILLIS) / (expectedMillis + OVERHEAD_MILLIS)

    private companion object {
        /** Multiple of the usual ratio; half of the time of a short answer is overhead that doesn't grow with it. */
        const val SLOW_FACTOR = 1.75

        /** Answers of a kind below which the usual ratio is not known well enough. */
        const val MIN_ANSWERS = 8

        /** Weight of the newest answer once enough are known. */
        const val LEARNING_WEIGHT = 0.05
        const val MAX_KINDS = 256

        /** Round trip and scheduling; keeps the ratio of very short answers from jumping. */
        const val OVERHEAD_MILLIS = 20.0
    }
}
