package dev.almondhaven.decision.traffic

import dev.almondhaven.model.FailureDomainId

/** The cost of sending a request to another failure domain, in milliseconds of its caller's time. */
public class DomainCost(
    private val ownDomain: FailureDomainId,
    private val distances: DomainDistances,
) {
    /** The cost of sending a request to [domain] that moves [bytes], its own and those of its answer. */
    public fun millis(
        domain: FailureDomainId,
        bytes: Int,
    ): Double =
        if (domain ==
            ownDomain
        ) {
            0.0
        } else {
            distances.extraMillis(domain) + bytes * MILLIS_PER_MEGABYTE / BYTES_PER_MEGABYTE
        }

    public companion object {
        /** Callers' time that a megabyte between failure domains is worth, where no price is stated. */
        public const val MILLIS_PER_MEGABYTE: Double = 200.0
        private const val BYTES_PER_MEGABYTE = 1_000_000.0
    }
}
