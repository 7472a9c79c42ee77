package dev.almondhaven.decision.endpoint

import dev.almondhaven.decision.membership.RendezvousHash

/**
 * Maps session and prompt-prefix keys to endpoints by rendezvous hashing, worked out once for each pool so that a
 * look-up costs one array access. Routers with the same endpoints agree without talking.
 */
internal class AffinityTable(
    endpoints: List<EndpointState>,
) {
    private val entries: List<EndpointState> =
        if (endpoints.isEmpty()) emptyList() else List(SIZE) { slot -> owner(slot, endpoints) }

    /** The endpoint that [key] prefers; null in an empty pool. */
    fun preferred(key: Long): EndpointState? = entries.getOrNull(Math.floorMod(key, SIZE.toLong()).toInt())

    private fun owner(
        slot: Int,
        endpoints: List<EndpointState>,
    ): EndpointState = RendezvousHash.choose("affinity/$slot", endpoints, 1) { it.endpoint.id.value }.first()

    private companion object {
        /** Prime, and several times the endpoints of a failure domain. */
        const val SIZE = 509
    }
}
