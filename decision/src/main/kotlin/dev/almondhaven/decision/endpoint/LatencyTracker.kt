package dev.almondhaven.decision.endpoint

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Detects an endpoint that turned cold without announcing it, by comparing its latest latencies with its own long-term
 * average. A single slow answer proves nothing, [SLOW_ANSWERS_IN_A_ROW] in a row do. Confined to one thread.
 */
internal class LatencyTracker {
    private var averageSeconds = 0.0
    private var samples = 0
    private var slowInARow = 0

    /**
     * Records the latency of one answer; returns true, and resets the count of slow answers, once latency collapsed.
     */
    fun record(latency: Duration): Boolean {
        val seconds = latency.toDouble(DurationUnit.SECONDS)
        samples++
        if (samples > WARM_UP_SAMPLES && seconds > maxOf(averageSeconds * SLOW_RATIO, MINIMUM_SLOW_SECONDS)) {
            slowInARow++
        } else {
            slowInARow = 0
            averageSeconds += (seconds - averageSeconds) * maxOf(1.0 / samples, AVERAGE_WEIGHT)
        }
        if (slowInARow < SLOW_ANSWERS_IN_A_ROW) return false
        slowInARow = 0
        return true
    }

    private companion object {
        const val WARM_UP_SAMPLES = 20
        const val SLOW_ANSWERS_IN_A_ROW = 8

        /** Weight of a new sample in the exponential moving average. */
        const val AVERAGE_WEIGHT = 0.01
        const val SLOW_RATIO = 4.0
        const val MINIMUM_SLOW_SECONDS = 0.05
    }
}
