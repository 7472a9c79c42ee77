package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.RouterId

/**
 * Which endpoints a router uses and, the other way round, which routers share an endpoint. A small deployment uses
 * everything; above [size] endpoints each router uses the [size] that rendezvous hashing gives it, so that connections
 * and load reports don't grow with the product of routers and endpoints.
 */
public class RouterSubset(
    private val size: Int = DEFAULT_SIZE,
) {
    init {
        require(size >= 1) { "size must be 1 or more, got $size" }
    }

    /** The part of [endpoints] that [router] uses. */
    public fun of(
        router: RouterId,
        endpoints: List<Endpoint>,
    ): List<Endpoint> {
        if (endpoints.size <= size) return endpoints
        return RendezvousHash.choose("subset/$router", endpoints, size) { it.id.value }
    }

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
        if (endpoints.size <= size) return endpoints.map { EndpointSharers(it, neighbours.ifEmpty { everyone }) }
        val users = endpoints.associate { it.id to ArrayList<RouterId>() }
        neighbours.forEach { router -> of(router, endpoints).forEach { users.getValue(it.id) += router } }
        return endpoints.map { EndpointSharers(it, users.getValue(it.id).ifEmpty { neighbours.ifEmpty { everyone } }) }
    }

    public companion object {
        public const val DEFAULT_SIZE: Int = 24
    }
}

/** The routers that share [endpoint]'s ramp. */
public data class EndpointSharers(
    public val endpoint: Endpoint,
    public val routers: List<RouterId>,
)
