package dev.almondhaven.decision.endpoint

import dev.almondhaven.model.EndpointId
import org.apache.commons.rng.UniformRandomProvider

/**
 * The properties of a request that determine the choice of its endpoint.
 *
 * @property affinityKey hash of its session or prompt prefix; null if it has neither.
 * @property excluded endpoints that it must not use, for example because an earlier attempt used them.
 */
public data class EndpointRequest(
    public val affinityKey: Long? = null,
    public val excluded: Set<EndpointId> = emptySet(),
)

/** The result of choosing an endpoint. */
public sealed interface EndpointChoice {
    /** A slot was acquired at [state]; the caller must release it. */
    public data class Chosen(
        public val state: EndpointState,
    ) : EndpointChoice

    /** Every endpoint that the request may use is at its limit or ejected. */
    public data object AllBusy : EndpointChoice

    /** There is no endpoint that the request may use. */
    public data object NoneLeft : EndpointChoice
}

/**
 * Chooses the least loaded of a few randomly sampled endpoints of the router's own failure domain. The endpoint that
 * likely has the prompt prefix cached is preferred unless its queue is longer by more than the cache saves. Endpoints
 * of other failure domains are used only when the local ones queue.
 *
 * @property samples endpoints compared for each request.
 * @property affinityBonus additional queue, in requests per slot, that a cached prompt prefix makes up for.
 * @property crossDomainPenalty additional queue, in requests per slot, that a local endpoint may have before a remote
 *   one is used.
 * @property queueingThreshold load, in requests per slot, above which requests may queue. It is below 1 because loads
 *   are estimates and requests arrive in bursts.
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

    /** Chooses an endpoint of [pool] for [request] and acquires a slot there. */
    public fun choose(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointChoice {
        val best = bestSampled(pool, request, now, random)
        if (best != null && best.tryAcquire(now)) return EndpointChoice.Chosen(best)
        return firstWithFreeSlot(pool, request, now, random)
    }

    private fun bestSampled(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointState? {
        val local = leastLoaded(pool.local, pool, request, now, random)
        val localQueue = local?.let { queueLength(it, pool, now) } ?: Double.MAX_VALUE
        val preferred = request.affinityKey?.let { pool.preferred(it) }
        if (preferred != null && isUsable(preferred, request, now)) {
            if (queueLength(preferred, pool, now) <= localQueue + affinityBonus) return preferred
        }
        if (localQueue == 0.0) return local
        val remote = leastLoaded(pool.remote, pool, request, now, random) ?: return local
        return if (queueLength(remote, pool, now) + crossDomainPenalty < localQueue) remote else local
    }

    /** Load above [queueingThreshold]; at a lower load an endpoint starts a request at once. */
    private fun queueLength(
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
            if (load < bestLoad && isUsable(candidate, request, now)) {
                best = candidate
                bestLoad = load
            }
        }
        return best
    }

    private fun isUsable(
        candidate: EndpointState,
        request: EndpointRequest,
        now: Long,
    ): Boolean =
        candidate.ownInFlight < candidate.limit &&
            candidate.endpoint.id !in request.excluded &&
            !candidate.health.refuses(now)

    /**
     * Fallback if the best sampled endpoint has no free slot: acquires the first free slot at up to
     * [MAXIMUM_SEARCHED] local and then as many remote endpoints, each list searched from a random position.
     */
    private fun firstWithFreeSlot(
        pool: EndpointPool,
        request: EndpointRequest,
        now: Long,
        random: UniformRandomProvider,
    ): EndpointChoice {
        var anyAllowed = false
        for (candidates in listOf(pool.local, pool.remote)) {
            val start = if (candidates.isEmpty()) 0 else random.nextInt(candidates.size)
            for (offset in 0 until minOf(candidates.size, MAXIMUM_SEARCHED)) {
                val candidate = candidates[(start + offset) % candidates.size]
                if (candidate.endpoint.id in request.excluded) continue
                anyAllowed = true
                if (candidate.tryAcquire(now)) return EndpointChoice.Chosen(candidate)
            }
        }
        return if (anyAllowed) EndpointChoice.AllBusy else EndpointChoice.NoneLeft
    }

    public companion object {
        public const val DEFAULT_SAMPLES: Int = 3
        public const val DEFAULT_AFFINITY_BONUS: Double = 0.1
        public const val DEFAULT_CROSS_DOMAIN_PENALTY: Double = 0.02
        public const val DEFAULT_QUEUEING_THRESHOLD: Double = 0.85
        private const val MAXIMUM_SEARCHED = 32
    }
}
