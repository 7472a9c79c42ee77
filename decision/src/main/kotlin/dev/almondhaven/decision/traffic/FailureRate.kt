package dev.almondhaven.decision.traffic

import kotlin.math.exp

/**
 * Exponentially decaying share of requests that failed. The decay lets an endpoint that was avoided get requests again
 * after a while. Not thread-safe.
 */
public class FailureRate {
    private var failures = 0.0
    private var total = 0.0
    private var decayedAt = 0L

    /** Records the outcome of a request. */
    public fun record(
        failed: Boolean,
        now: Long,
    ) {
        decay(now)
        total += 1
        if (failed) failures += 1
    }

    /** Takes back a failure that turned out not to be the endpoint's own. */
    public fun retractFailure(now: Long) {
        decay(now)
        failures = (failures - 1).coerceAtLeast(0.0)
    }

    /** The rate at [now], biased towards zero while few requests are known. */
    public fun at(now: Long): Double {
        decay(now)
        return failures / (total + PRIOR_REQUESTS)
    }

    private fun decay(now: Long) {
        if (now == decayedAt) return
        val factor = if (total == 0.0) 0.0 else exp(-(now - decayedAt) / DECAY_NANOS)
        failures *= factor
        total *= factor
        decayedAt = now
    }

    private companion object {
        /** Imaginary successful requests, since a single failure is no sign of a bad endpoint. */
        const val PRIOR_REQUESTS = 3.0

        /** Time constant of the decay; endpoint faults last seconds. */
        const val DECAY_NANOS = 6e9
    }
}
