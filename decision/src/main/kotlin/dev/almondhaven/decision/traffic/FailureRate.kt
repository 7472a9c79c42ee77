package dev.almondhaven.decision.traffic

import kotlin.math.exp

/**
 * The part of recent requests that failed, with old ones fading away: an endpoint that was avoided is tried again after a
 * while. Not safe for use from several threads.
 */
public class FailureRate {
    private var failures = 0.0
    private var total = 0.0
    private var at = 0L

    public fun record(
        failed: Boolean,
        now: Long,
    ) {
        fade(now)
        total += 1
        if (failed) failures += 1
    }

    /** The rate at [now], drawn towards zero while few requests are known. */
    public fun at(now: Long): Double {
        fade(now)
        return failures / (total + PRIOR_REQUESTS)
    }

    private fun fade(now: Long) {
        if (now == at) return
        val kept = if (total == 0.0) 0.0 else exp(-(now - at) / FADING_NANOS)
        failures *= kept
        total *= kept
        at = now
    }

    private companion object {
        /** A single failure is no sign of a bad endpoint. */
        const val PRIOR_REQUESTS = 3.0

        /** Troubles of endpoints last seconds. */
        const val FADING_NANOS = 6e9
    }
}
