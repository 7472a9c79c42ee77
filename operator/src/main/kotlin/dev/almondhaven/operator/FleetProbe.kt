package dev.almondhaven.operator

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.peer.PeerMember
import dev.almondhaven.peer.PeerStatus
import java.util.concurrent.CompletableFuture

/**
 * Routers as an operator's command found them.
 *
 * @property answered by peer address.
 * @property silent routers that others hold to be alive but that didn't answer.
 * @property silentSeeds addresses the operator named at which nobody answered.
 */
internal data class ProbedFleet(
    val answered: Map<String, PeerStatus>,
    val silent: List<PeerMember>,
    val silentSeeds: List<String>,
)

/** Finds the fleet's routers from the few that the operator names. */
internal class FleetProbe(
    private val client: RouterClient,
    private val seeds: List<String>,
) {
    /** Asks the named routers, and then every router that they know. */
    fun probe(): ProbedFleet {
        val first = ask(seeds)
        val members = first.values.flatMap { it.members }.distinctBy { it.peerAddress }
        val all = first + ask(members.map { it.peerAddress }.filter { it !in first })
        val known = members.map { it.peerAddress }.toSet()
        return ProbedFleet(
            all,
            members.filter { it.peerAddress !in all },
            seeds.filter { it !in all && it !in known },
        )
    }

    /** Hands [catalogue] to every router that answers; returns how many hold it now, and of how many. */
    fun push(catalogue: Catalogue): PushResult {
        val fleet = probe()
        val answers = fleet.answered.keys.map { client.push(it, catalogue) }
        val held = answers.map { it.join() }.count { it != null && it.generation >= catalogue.generation }
        return PushResult(held, fleet.answered.size + fleet.silent.size)
    }

    private fun ask(addresses: List<String>): Map<String, PeerStatus> {
        val calls = addresses.distinct().associateWith { client.status(it) }
        CompletableFuture.allOf(*calls.values.toTypedArray()).join()
        return calls.mapNotNull { (address, call) -> call.join()?.let { address to it } }.toMap()
    }
}

/** Outcome of handing a configuration to the routers. */
internal data class PushResult(
    val holding: Int,
    val known: Int,
)
