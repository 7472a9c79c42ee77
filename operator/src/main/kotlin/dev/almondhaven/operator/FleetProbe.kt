package dev.almondhaven.operator

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.peer.PeerMember
import dev.almondhaven.peer.PeerStatus
import java.util.concurrent.CompletableFuture

/**
 * Result of probing the fleet's routers.
 *
 * @property responses status of each router that responded, by peer address.
 * @property unresponsive routers that others consider alive but that didn't respond.
 * @property unresponsiveSeeds addresses given by the operator at which no known router responded.
 */
internal data class ProbedFleet(
    val responses: Map<String, PeerStatus>,
    val unresponsive: List<PeerMember>,
    val unresponsiveSeeds: List<String>,
)

/** Discovers the fleet's routers, starting from the [seeds] that the operator gives as `ip:port`. */
internal class FleetProbe(
    private val client: RouterClient,
    private val seeds: List<String>,
) {
    /** Queries the seeds for their status, and then every router that they know. */
    fun probe(): ProbedFleet {
        val seedResponses = statusesOf(seeds)
        val members = seedResponses.values.flatMap { it.members }.distinctBy { it.peerAddress }
        val responses = seedResponses + statusesOf(members.map { it.peerAddress }.filter { it !in seedResponses })
        val knownAddresses = members.map { it.peerAddress }.toSet()
        return ProbedFleet(
            responses,
            members.filter { it.peerAddress !in responses },
            seeds.filter { it !in responses && it !in knownAddresses },
        )
    }

    /** Sends [catalogue] to every router that responds, and counts those that hold it or a newer one now. */
    fun push(catalogue: Catalogue): PushResult {
        val fleet = probe()
        val pushes = fleet.responses.keys.map { client.push(it, catalogue) }
        val holding = pushes.map { it.join() }.count { it != null && it.generation >= catalogue.generation }
        return PushResult(holding, fleet.responses.size + fleet.unresponsive.size)
    }

    private fun statusesOf(addresses: List<String>): Map<String, PeerStatus> {
        val calls = addresses.distinct().associateWith { client.status(it) }
        CompletableFuture.allOf(*calls.values.toTypedArray()).join()
        return calls.mapNotNull { (address, call) -> call.join()?.let { address to it } }.toMap()
    }
}

/**
 * Outcome of a configuration push.
 *
 * @property holding number of routers that hold the configuration or a newer one.
 * @property known number of routers known, including unresponsive ones.
 */
internal data class PushResult(
    val holding: Int,
    val known: Int,
)
