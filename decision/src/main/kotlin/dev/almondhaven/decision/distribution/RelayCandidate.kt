package dev.almondhaven.decision.distribution

import dev.almondhaven.model.FailureDomainId

/**
 * A router that may read the platform's store for others.
 *
 * @property failureDomain null if it is not known.
 * @property linkMegabits bandwidth of its VM's network link in Mbit/s.
 */
public data class RelayCandidate(
    public val name: String,
    public val address: String,
    public val failureDomain: FailureDomainId?,
    public val linkMegabits: Double,
)
