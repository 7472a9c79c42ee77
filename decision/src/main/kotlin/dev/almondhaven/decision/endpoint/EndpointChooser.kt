package dev.almondhaven.decision.endpoint

import dev.almondhaven.model.EndpointId
import org.apache.commons.rng.UniformRandomProvider

/**
 * What matters about a request for the choice of its endpoint.
 *
 * @property affinityKey hash of its session or prompt prefix; null when it has neither.
 * @property excluded endpoints that it may not use, for example because an earlier attempt did.
 */
public data class EndpointRequest(
    public val affinityKey: Long? = null,
    public val excluded: Set<EndpointId> = emptySet(),
)

/** The result of a choice. */
public sealed interface EndpointChoice {
    /** A slot was taken at [state]; the caller releases it. */
    public data class Chosen(
        public val state: EndpointState,
    ) : EndpointChoice

    /** Every endpoint is at its limit or ejected for now. */
    public data object AllBusy : EndpointChoice

    /** No endpoint is left that the request may use. */
    public data object NoneLeft : EndpointChoice
}

/**
 * Takes the least loaded of a few random endpoints of the own failure domain, prefers the one that likely holds the
 * prompt's cache as long as its queue isn't longer by more than the cache is worth, and crosses the border of the
 * failure domain only when the own endpoints queue.
 *
 * @property samples endpoints compared for each request.
 * @property affinityBonus queue, in requests per slot, that a warm cache makes up for.
 * @property crossDomainPenalty queue that crossing the border is worth.
 * @property queueingThreshold load from which all slots may be taken: loads are estimates, and requests come in bursts.
 */
public class EndpointChooser(
    private val samples: Int = DEFAULT_SAMPLES,
    private val affinityBonus: Double = DEFAULT_AFFINITY_BONUS,
    private val crossDomainPenalty: Double = DEFAULT_CROSS_DOMAIN_PENALTY,
    private val queueingThreshold: Double = DEFAULT_QUEUEING_THRESHOLD,
) {
    init {
        require(samples >= 1) { "samples must be 1 or more, got $samples" }
    }

    /** Chooses an endpoint of [pool] for [request] and takes a slot there. */
    public fun choose(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointChoice {
        val best = best(pool, request, now, random)
        if (best != null && best.tryAcquire(now)) return EndpointChoice.Chosen(best)
        return firstFree(pool, request, now, random)
    }

    private fun best(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointState? {
        val local = leastLoaded(pool.local, pool, request, now, random)
        val localQueue = local?.let { queue(it, pool, now) } ?: Double.MAX_VALUE
        val preferred = request.affinityKey?.let { pool.preferred(it) }
        if (preferred != null && usable(preferred, request, now)) {
            if (queue(preferred, pool, now) <= localQueue + affinityBonus) return preferred
        }
        if (localQueue == 0.0) return local
        val remote = leastLoaded(pool.remote, pool, request, now, random) ?: return local
        return if (queue(remote, pool, now) + crossDomainPenalty < localQueue) remote else local
    }

    /** Load beyond what likely finds a free slot; below that every endpoint starts a request at once. */
    private fun queue(
        state: EndpointState,
        pool: EndpointPool,
        now: Long,
    ): Double = maxOf(0.0, state.load(now, pool.averageOtherRequests) - queueingThreshold)

    private fun leastLoaded(
        candidates: List<EndpointState>,
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointState? {
        var best: EndpointState? = null
        var bestLoad = Double.MAX_VALUE
        repeat(if (candidates.isEmpty()) 0 else samples) {
            val candidate = candidates[random.nextInt(candidates.size)]
            val load = candidate.load(now, pool.averageOtherRequests)
            if (load < bestLoad && usable(candidate, request, now)) {
                best = candidate
                bestLoad = load
            }
        }
        return best
    }

    private fun usable(
        candidate: EndpointState,
        request: EndpointRequest,
        now: Long,
    ): Boolean =
        candidate.ownInFlight < candidate.limit &&
            candidate.endpoint.id !in request.excluded &&
            !candidate.health.refuses(now)

    /** Only when the sampled endpoints are all taken: looks at the others, at most [LONGEST_SEARCH] of each side. */
    private fun firstFree(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointChoice {
        var allowed = false
        for (candidates in listOf(pool.local, pool.remote)) {
            val start = if (candidates.isEmpty()) 0 else random.nextInt(candidates.size)
            for (offset in 0 until minOf(candidates.size, LONGEST_SEARCH)) {
                val candidate = candidates[(start + offset) % candidates.size]
                if (candidate.endpoint.id in request.excluded) continue
                allowed = true
                if (candidate.tryAcquire(now)) return EndpointChoice.Chosen(candidate)
            }
        }
        return if (allowed) EndpointChoice.AllBusy else EndpointChoice.NoneLeft
    }

    public companion object {
        public const val DEFAULT_SAMPLES: Int = 3
        public const val DEFAULT_AFFINITY_BONUS: Double = 0.1
        public const val DEFAULT_CROSS_DOMAIN_PENALTY: Double = 0.02
        public const val DEFAULT_QUEUEING_THRESHOLD: Double = 0.85
        private const val LONGEST_SEARCH = 32
    }
}
