package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.FailureDomainId

/**
 * Chooses the endpoint that is expected to answer first.
 *
 * For engines that is the reading that waits there, the reading of what is not cached, and the pace that its running
 * requests leave. Routers don't see each other's requests, so a shared prompt part has a home that all routers compute
 * alike; the home counts as having the part cached. For plain services it is the number of requests at the endpoint.
 */
public class EndpointPlacement(
    private val home: FailureDomainId,
) {
    /** The best of [candidates], or null if there is none. */
    public fun choose(
        candidates: List<EndpointView>,
        demand: PlacementRequest,
        now: Long,
    ): EndpointView? {
        val admitted = candidates.filter { it.warmUp.admits(now) && !it.health.refuses(now) }
        val homeOfPart = homeOf(candidates, demand)
        return admitted.minByOrNull { cost(it, it === homeOfPart, demand, now) }
    }

    private fun homeOf(
        candidates: List<EndpointView>,
        demand: PlacementRequest,
    ): EndpointView? {
        val affinity = demand.affinity ?: return null
        return RendezvousHash.choose(affinity, candidates, 1) { it.listing.id.value }.firstOrNull()
    }

    private fun cost(
        endpoint: EndpointView,
        isHome: Boolean,
        demand: PlacementRequest,
        now: Long,
    ): Double {
        val distance = if (endpoint.listing.failureDomain == home) 0.0 else OTHER_DOMAIN_MILLIS
        val coldness = if (endpoint.warmUp.isCold(now)) COLD_MILLIS else 0.0
        val load = endpoint.requests(now).toDouble() / endpoint.listing.slots
        val unreliability = endpoint.failureRate.at(now) * FAILURE_MILLIS
        return distance + coldness + unreliability +
            if (demand.model.isEmpty()) load * SERVICE_MILLIS else reading(endpoint, isHome, demand, now)
    }

    private fun reading(
        endpoint: EndpointView,
        isHome: Boolean,
        demand: PlacementRequest,
        now: Long,
    ): Double {
        val shared = demand.promptParts.dropLast(1)
        val held = endpoint.prefixCache.cachedTokens(demand.model, demand.promptParts)
        val assumed = if (isHome) maxOf(held, shared.sumOf { it.tokens }) else held
        val unread = (demand.promptTokens - assumed).coerceAtLeast(0)
        val fullness = endpoint.requests(now).toDouble() / endpoint.listing.slots
        val queued = endpoint.waiting(now) * WAITING_MILLIS
        val crowd = if (fullness > FULL) (fullness - FULL) * OVERFULL_MILLIS else fullness * CROWD_MILLIS
        return endpoint.prefillSpeed.estimateMillis(
            demand.model,
            unread,
        ) + endpoint.prefillBacklogMillis(now) + queued +
            crowd
    }

    /** Milliseconds until the best of [candidates] is expected to begin its answer; infinite without any. */
    public fun expectedFirstTokenMillis(
        candidates: List<EndpointView>,
        demand: PlacementRequest,
        now: Long,
    ): Double {
        val homeOfPart = homeOf(candidates, demand)
        return candidates.minOfOrNull { reading(it, it === homeOfPart, demand, now) } ?: Double.POSITIVE_INFINITY
    }

    /** Milliseconds of reading that wait at one of [candidates] on average; 0 without any. */
    public fun averagePrefillBacklogMillis(
        candidates: List<EndpointView>,
        now: Long,
    ): Double = if (candidates.isEmpty()) 0.0 else candidates.sumOf { it.prefillBacklogMillis(now) } / candidates.size

    private companion object {
        /** Two ways between failure domains, and what the bytes cost. */
        const val OTHER_DOMAIN_MILLIS = 5.0

        /** A cold endpoint is worth using only when others are busy. */
        const val COLD_MILLIS = 60.0

        /** A request that fails costs a repeat, or all of it where it can't be repeated. */
        const val FAILURE_MILLIS = 400.0

        /** A plain service with all slots taken makes a request wait about one service time. */
        const val SERVICE_MILLIS = 60.0

        /** Steps of a batch grow with the requests in it; a full batch costs about this much more to the first token. */
        const val CROWD_MILLIS = 150.0

        /** Part of the slots above which a request is likely to wait for one. */
        const val FULL = 0.9
        const val OVERFULL_MILLIS = 3_000.0

        /** A request that waits at an engine delays the next one by about its reading. */
        const val WAITING_MILLIS = 60.0
    }
}
