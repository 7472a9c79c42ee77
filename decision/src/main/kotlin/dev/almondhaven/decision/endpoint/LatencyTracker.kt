package dev.almondhaven.decision.endpoint

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Compares an endpoint's recent latency to its own long-term one, to find an endpoint that turned cold unannounced.
 * Belongs to one thread.
 */
internal class LatencyTracker {
    private var recent = 0.0
    private var usual = 0.0
    private var samples = 0

    /** Takes the latency of one answer; true when latency has collapsed. The comparison then starts over. */
    fun record(latency: Duration): Boolean {
        val seconds = latency.toDouble(DurationUnit.SECONDS)
        samples++
        if (samples <= SETTLING_SAMPLES) {
            usual += (seconds - usual) / samples
            recent = usual
            return false
        }
        recent += (seconds - recent) * RECENT_WEIGHT
        val collapsed = recent > usual * COLLAPSE_RATIO && recent > SMALLEST_COLLAPSE_SECONDS
        if (collapsed) recent = usual else usual += (seconds - usual) * USUAL_WEIGHT
        return collapsed
    }

    private companion object {
        const val SETTLING_SAMPLES = 20
        const val RECENT_WEIGHT = 0.2
        const val USUAL_WEIGHT = 0.01
        const val COLLAPSE_RATIO = 4.0
        const val SMALLEST_COLLAPSE_SECONDS = 0.05
    }
}
