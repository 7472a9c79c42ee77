package dev.almondhaven.decision.traffic

import dev.almondhaven.model.FailureDomainId

/**
 * Round-trip times to the failure domains, learned from the times in which connections to their endpoints open. Not
 * thread-safe.
 */
public class DomainDistances(
    private val ownDomain: FailureDomainId,
) {
    private val roundTripMillis = HashMap<FailureDomainId, Double>()

    /** Records that a connection to an endpoint in [domain] was open after [millis]. */
    public fun record(
        domain: FailureDomainId,
        millis: Double,
    ) {
        if (millis !in PLAUSIBLE_MILLIS) return
        val known = roundTripMillis[domain]
        roundTripMillis[domain] =
            if (known == null) {
                millis
            } else {
                known + (millis - known) * if (millis < known) DECREASE_WEIGHT else INCREASE_WEIGHT
            }
    }

    /** Milliseconds by which a round trip to [domain] takes longer than one within the own domain; 0 for the own one. */
    public fun extraMillis(domain: FailureDomainId): Double {
        if (domain == ownDomain) return 0.0
        val there = roundTripMillis[domain] ?: return DEFAULT_EXTRA_MILLIS
        val here = roundTripMillis[ownDomain] ?: 0.0
        return (there - here).coerceAtLeast(0.0)
    }

    private companion object {
        /** A longer time is that of a lost packet. */
        val PLAUSIBLE_MILLIS = 0.0..2_000.0

        /** A busy router or endpoint only ever adds time, so a shorter sample counts and a longer one hardly does. */
        const val DECREASE_WEIGHT = 0.5
        const val INCREASE_WEIGHT = 0.02

        /** A round trip between data centres of one region, rather too long than too short until one was measured. */
        const val DEFAULT_EXTRA_MILLIS = 5.0
    }
}
