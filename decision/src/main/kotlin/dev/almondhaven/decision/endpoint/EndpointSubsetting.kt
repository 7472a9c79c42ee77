package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.RouterId

/**
 * Deterministic subsetting: which endpoints a router uses and, conversely, which routers share an endpoint. In a
 * small deployment every router uses every endpoint. If there are more than [localSize] endpoints in its own failure
 * domain, or more than [remoteSize] in the others, a router uses a subset chosen by rendezvous hashing. Otherwise
 * connections and load reports would grow with the product of routers and endpoints.
 */
public class EndpointSubsetting(
    private val localSize: Int = DEFAULT_LOCAL_SIZE,
    private val remoteSize: Int = DEFAULT_REMOTE_SIZE,
) {
    init {
        require(localSize >= 1) { "localSize must be 1 or more, got $localSize" }
        require(remoteSize >= 0) { "remoteSize must not be negative, got $remoteSize" }
    }

    /** The subset of [endpoints], all in the failure domain of [router], that it uses. */
    public fun local(
        router: RouterId,
        endpoints: List<Endpoint>,
    ): List<Endpoint> = subset(router, endpoints, localSize)

    /** The subset of [endpoints], all in other failure domains, that [router] uses. */
    public fun remote(
        router: RouterId,
        endpoints: List<Endpoint>,
    ): List<Endpoint> = subset(router, endpoints, remoteSize)

    /**
     * The routers that may send to each of [endpoints] while it is cold: those in its failure domain that use it. If no
     * router there uses it, all routers of the domain share it; if the domain has no routers, all [members] do.
     */
    public fun sharers(
        endpoints: List<Endpoint>,
        members: List<Member>,
    ): List<EndpointSharers> {
        val allRouters = members.map { it.id }
        return endpoints.groupBy { it.failureDomain }.flatMap { (domain, domainEndpoints) ->
            val domainRouters = members.filter { it.failureDomain == domain }.map { it.id }
            sharersInDomain(domainEndpoints, domainRouters, allRouters)
        }
    }

    private fun sharersInDomain(
        endpoints: List<Endpoint>,
        domainRouters: List<RouterId>,
        allRouters: List<RouterId>,
    ): List<EndpointSharers> {
        if (endpoints.size <= localSize) {
            return endpoints.map { EndpointSharers(it, domainRouters.ifEmpty { allRouters }) }
        }
        val users = endpoints.associate { it.id to ArrayList<RouterId>() }
        domainRouters.forEach { router -> local(router, endpoints).forEach { users.getValue(it.id) += router } }
        return endpoints.map {
            EndpointSharers(it, users.getValue(it.id).ifEmpty { domainRouters.ifEmpty { allRouters } })
        }
    }

    private fun subset(
        router: RouterId,
        endpoints: List<Endpoint>,
        size: Int,
    ): List<Endpoint> {
        if (endpoints.size <= size) return endpoints
        return RendezvousHash.choose("subset/$router", endpoints, size) { it.id.value }
    }

    public companion object {
        public const val DEFAULT_LOCAL_SIZE: Int = 160
        public const val DEFAULT_REMOTE_SIZE: Int = 24
    }
}

/** The routers that share the slow-start limit of [endpoint]. */
public data class EndpointSharers(
    public val endpoint: Endpoint,
    public val routers: List<RouterId>,
)
