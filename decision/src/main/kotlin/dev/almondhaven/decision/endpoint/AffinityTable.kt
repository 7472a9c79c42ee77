package dev.almondhaven.decision.endpoint

import dev.almondhaven.decision.membership.RendezvousHash

/**
 * Maps session and prompt-prefix keys to endpoints by rendezvous hashing. The table is computed once per pool, so a
 * look-up costs one array access. Routers with the same endpoints compute the same table without communicating.
 */
internal class AffinityTable(
    endpoints: List<EndpointState>,
) {
    private val slots: List<EndpointState> =
        if (endpoints.isEmpty()) emptyList() else List(SIZE) { slot -> owner(slot, endpoints) }

    /** The endpoint that [key] prefers; null in an empty pool. */
    fun preferred(key: Long): EndpointState? = slots.getOrNull(Math.floorMod(key, SIZE.toLong()).toInt())

    private fun owner(
        slot: Int,
        endpoints: List<EndpointState>,
    ): EndpointState = RendezvousHash.choose("affinity/$slot", endpoints, 1) { it.endpoint.id.value }.first()

    private companion object {
        /** A prime number that is several times the number of endpoints in a failure domain. */
        const val SIZE = 509
    }
}
