package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.RouterId

/**
 * Which endpoints a router uses and, the other way round, which routers share an endpoint. A small deployment uses
 * everything. Above [localSize] endpoints of its own failure domain and [remoteSize] of the others a router uses those
 * that rendezvous hashing gives it, so that connections and load reports don't grow with the product of routers and
 * endpoints.
 */
public class EndpointSubsetting(
    private val localSize: Int = DEFAULT_LOCAL_SIZE,
    private val remoteSize: Int = DEFAULT_REMOTE_SIZE,
) {
    init {
        require(localSize >= 1) { "localSize must be 1 or more, got $localSize" }
        require(remoteSize >= 0) { "remoteSize must not be negative, got $remoteSize" }
    }

    /** The part of [endpoints], all of its own failure domain, that [router] uses. */
    public fun local(
        router: RouterId,
        endpoints: List<Endpoint>,
    ): List<Endpoint> = part(router, endpoints, localSize)

    /** The part of [endpoints], all of other failure domains, that [router] uses. */
    public fun remote(
        router: RouterId,
        endpoints: List<Endpoint>,
    ): List<Endpoint> = part(router, endpoints, remoteSize)

    /**
     * The routers that may send to each of [endpoints] while it is cold: those of its own failure domain that use it,
     * or every router where none of them is left.
     */
    public fun sharers(
        endpoints: List<Endpoint>,
        members: List<Member>,
    ): List<EndpointSharers> {
        val everyone = members.map { it.id }
        return endpoints.groupBy { it.failureDomain }.flatMap { (domain, own) ->
            val neighbours = members.filter { it.failureDomain == domain }.map { it.id }
            sharersIn(own, neighbours, everyone)
        }
    }

    private fun sharersIn(
        endpoints: List<Endpoint>,
        neighbours: List<RouterId>,
        everyone: List<RouterId>,
    ): List<EndpointSharers> {
        if (endpoints.size <= localSize) return endpoints.map { EndpointSharers(it, neighbours.ifEmpty { everyone }) }
        val users = endpoints.associate { it.id to ArrayList<RouterId>() }
        neighbours.forEach { router -> local(router, endpoints).forEach { users.getValue(it.id) += router } }
        return endpoints.map { EndpointSharers(it, users.getValue(it.id).ifEmpty { neighbours.ifEmpty { everyone } }) }
    }

    private fun part(
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

/** The routers that share [endpoint]'s ramp. */
public data class EndpointSharers(
    public val endpoint: Endpoint,
    public val routers: List<RouterId>,
)
