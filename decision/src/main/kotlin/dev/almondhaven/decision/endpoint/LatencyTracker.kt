package dev.almondhaven.decision.endpoint

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Compares an endpoint's latest answers to its own long-term latency, to find an endpoint that turned cold unannounced.
 * A single slow answer says nothing; [COLLAPSED_IN_A_ROW] in a row do. Belongs to one thread.
 */
internal class LatencyTracker {
    private var usual = 0.0
    private var samples = 0
    private var slowInARow = 0

    /** Takes the latency of one answer; true when latency has collapsed. The comparison then starts over. */
    fun record(latency: Duration): Boolean {
        val seconds = latency.toDouble(DurationUnit.SECONDS)
        samples++
        if (samples > SETTLING_SAMPLES && seconds > maxOf(usual * COLLAPSE_RATIO, SMALLEST_COLLAPSE_SECONDS)) {
            slowInARow++
        } else {
            slowInARow = 0
            usual += (seconds - usual) * maxOf(1.0 / samples, USUAL_WEIGHT)
        }
        if (slowInARow < COLLAPSED_IN_A_ROW) return false
        slowInARow = 0
        return true
    }

    private companion object {
        const val SETTLING_SAMPLES = 20
        const val COLLAPSED_IN_A_ROW = 8
        const val USUAL_WEIGHT = 0.01
        const val COLLAPSE_RATIO = 4.0
        const val SMALLEST_COLLAPSE_SECONDS = 0.05
    }
}
