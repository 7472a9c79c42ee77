package dev.almondhaven.decision.traffic

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells the failure domains that this router can't reach.
 *
 * Load pattern: a failure domain is cut off. Every one of its endpoints looks healthy until a connection to it has
 * timed out, so that in a large domain many requests wait for such a timeout. Here the second endpoint of a domain
 * that can't be reached, with none reached in between, makes all others of the domain a last resort; one request at a
 * time tries whether the domain is back. Not thread-safe.
 */
public class DomainReachability {
    private class Outage {
        val endpoints = HashSet<EndpointId>()
        var nextProbeAt = 0L
    }

    private val outages = HashMap<FailureDomainId, Outage>()

    /** Records that no connection to [endpoint] in [domain] could be opened. */
    public fun recordUnreachable(
        domain: FailureDomainId,
        endpoint: EndpointId,
        now: Long,
    ) {
        val outage = outages.getOrPut(domain, ::Outage)
        outage.endpoints += endpoint
        outage.nextProbeAt = now + PROBE_PAUSE_NANOS
    }

    /** Records a response from an endpoint in [domain]. */
    public fun recordReached(domain: FailureDomainId) {
        outages.remove(domain)
    }

    /** Records that a request is sent to an endpoint in [domain], which probes it if it could not be reached. */
    public fun recordSent(
        domain: FailureDomainId,
        now: Long,
    ) {
        outages[domain]?.nextProbeAt = now + PROBE_PAUSE_NANOS
    }

    /** Whether [domain] should be avoided at [now]. */
    public fun isUnreachable(
        domain: FailureDomainId,
        now: Long,
    ): Boolean {
        val outage = outages[domain] ?: return false
        return outage.endpoints.size >= MIN_ENDPOINTS && now - outage.nextProbeAt < 0
    }

    private companion object {
        /** A single endpoint that can't be reached has more likely crashed. */
        const val MIN_ENDPOINTS = 2

        /** Longer than a connection attempt; short compared with the seconds that a partition lasts. */
        val PROBE_PAUSE_NANOS = 1_000.milliseconds.inWholeNanoseconds
    }
}
