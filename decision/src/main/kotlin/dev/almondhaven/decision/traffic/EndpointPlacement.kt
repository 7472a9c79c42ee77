package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.FailureDomainId

/**
 * Chooses the endpoint that is expected to answer first.
 *
 * For a model engine the expected time is the outstanding prefill, the prefill of the prompt's uncached part, and the
 * slowdown from the requests already running. For a plain service it follows from the number of requests at the
 * endpoint.
 *
 * Routers don't see which prompts the others send. So that requests with a shared prompt prefix still meet at one
 * engine, all routers map the prefix to the same preferred endpoint by rendezvous hashing and assume that it is
 * cached there.
 */
public class EndpointPlacement(
    private val ownDomain: FailureDomainId,
) {
    /** Round-trip times to the failure domains. */
    public val distances: DomainDistances = DomainDistances(ownDomain)
    private val domainCost = DomainCost(ownDomain, distances)

    /** The failure domains that this router can't reach, whose endpoints are a last resort. */
    public val reachability: DomainReachability = DomainReachability()

    /** The candidate of least cost that admits a request at [now], or null if there is none. */
    public fun choose(
        candidates: List<EndpointView>,
        request: PlacementRequest,
        now: Long,
    ): EndpointView? {
        val admitted =
            candidates.filter { it.warmUp.admits(now) && it.rateLimit.admits(now) && !it.health.refuses(now) }
        val preferred = preferredEndpoint(candidates, request)
        val someAreLimited = request.model.isNotEmpty() && candidates.any { it.rateLimit.perSecond != null }
        return admitted.minByOrNull {
            val cost = costMillis(it, it === preferred, request, now)
            if (someAreLimited) cost + turnCostMillis(it, it === preferred, request, now) else cost
        }
    }

    /**
     * Beside endpoints that limit their requests but not the work of each, long prompts go to those and short ones to the
     * others: a long prompt at an endpoint without limit delays the many requests there. Towards the end of a turn any
     * request may use it.
     */
    private fun turnCostMillis(
        endpoint: EndpointView,
        isPreferred: Boolean,
        request: PlacementRequest,
        now: Long,
    ): Double =
        if (endpoint.rateLimit.perSecond == null) {
            prefillMillis(endpoint, isPreferred, request)
        } else {
            endpoint.rateLimit.turnLeft(now) * TURN_MILLIS
        }

    private fun preferredEndpoint(
        candidates: List<EndpointView>,
        request: PlacementRequest,
    ): EndpointView? {
        val affinity = request.affinity ?: return null
        return RendezvousHash.choose(affinity, candidates, 1) { it.listing.id.value }.firstOrNull()
    }

    private fun costMillis(
        endpoint: EndpointView,
        isPreferred: Boolean,
        request: PlacementRequest,
        now: Long,
    ): Double {
        val leaving = domainCost.millis(endpoint.listing.failureDomain, request.transferBytes)
        val coldPenalty = if (endpoint.warmUp.isCold(now)) COLD_PENALTY_MILLIS else 0.0
        val load = endpoint.requests(now).toDouble() / endpoint.listing.slots
        val failurePenalty = endpoint.failureRate.at(now) * FAILURE_PENALTY_MILLIS
        val unreachable = reachability.isUnreachable(endpoint.listing.failureDomain, now)
        val outagePenalty = if (unreachable) UNREACHABLE_DOMAIN_MILLIS else 0.0
        return leaving + coldPenalty + failurePenalty + outagePenalty +
            if (request.model.isEmpty()) {
                load * FULL_SERVICE_MILLIS
            } else {
                firstTokenMillis(endpoint, isPreferred, request, now)
            }
    }

    private fun firstTokenMillis(
        endpoint: EndpointView,
        isPreferred: Boolean,
        request: PlacementRequest,
        now: Long,
    ): Double {
        val load = endpoint.requests(now).toDouble() / endpoint.listing.slots
        val slowness = endpoint.speed.slowness
        val queueing = endpoint.waiting(now) * QUEUED_REQUEST_MILLIS * slowness
        val batchSlowdown =
            if (load > NEARLY_FULL_LOAD) {
                (load - NEARLY_FULL_LOAD) * OVERLOAD_MILLIS
            } else {
                load * FULL_BATCH_MILLIS
            }
        return prefillMillis(endpoint, isPreferred, request) + endpoint.prefillBacklogMillis(now) + queueing +
            batchSlowdown * slowness
    }

    private fun prefillMillis(
        endpoint: EndpointView,
        isPreferred: Boolean,
        request: PlacementRequest,
    ): Double {
        // The last part belongs to the request or its session, so other sessions don't share it.
        val shared = request.promptParts.dropLast(1)
        val cached = endpoint.prefixCache.cachedTokens(request.model, request.promptParts)
        val assumedCached = if (isPreferred) maxOf(cached, shared.sumOf { it.tokens }) else cached
        val uncached = (request.promptTokens - assumedCached).coerceAtLeast(0)
        return endpoint.prefillMillis(request.model, uncached)
    }

    /** Expected milliseconds to the first token at the best of [candidates]; infinite if there are none. */
    public fun expectedFirstTokenMillis(
        candidates: List<EndpointView>,
        request: PlacementRequest,
        now: Long,
    ): Double {
        val preferred = preferredEndpoint(candidates, request)
        return candidates.minOfOrNull { firstTokenMillis(it, it === preferred, request, now) }
            ?: Double.POSITIVE_INFINITY
    }

    /** Average milliseconds of outstanding prefill per candidate; 0 if there are none. */
    public fun averagePrefillBacklogMillis(
        candidates: List<EndpointView>,
        now: Long,
    ): Double = if (candidates.isEmpty()) 0.0 else candidates.sumOf { it.prefillBacklogMillis(now) } / candidates.size

    private companion object {
        /** Makes a cold endpoint the better choice only when the others are busy. */
        const val COLD_PENALTY_MILLIS = 60.0

        /** A failed request costs a retry, or the whole request where it can't be retried. */
        const val FAILURE_PENALTY_MILLIS = 400.0

        /** More than any queue; an endpoint in an unreachable domain is chosen only if there is no other. */
        const val UNREACHABLE_DOMAIN_MILLIS = 60_000.0

        /** What a whole turn at an endpoint of limited rate is worth in prefill elsewhere. */
        const val TURN_MILLIS = 150.0

        /** At a plain service whose slots are all taken, a request waits for about one service time. */
        const val FULL_SERVICE_MILLIS = 60.0

        /** Decode steps slow down as the batch grows; a full batch adds about this much to the first token. */
        const val FULL_BATCH_MILLIS = 150.0

        /** Requests per slot above which a request is likely to wait for a free slot. */
        const val NEARLY_FULL_LOAD = 0.9

        /** Wait per whole multiple of the slots above [NEARLY_FULL_LOAD]. */
        const val OVERLOAD_MILLIS = 3_000.0

        /** Each request queued at an engine delays the next one by about its prefill. */
        const val QUEUED_REQUEST_MILLIS = 60.0
    }
}
