package dev.almondhaven.operator

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.peer.PeerStatus
import kotlinx.serialization.Serializable

/**
 * One failure domain as its routers tell it.
 *
 * @property oldest lowest generation in force on a router that answered; null when none did.
 * @property newest highest generation in force on a router that answered.
 * @property confirming routers that hold the accepted generation, or a newer one.
 * @property behind routers that answered with an older generation.
 * @property silent routers that didn't answer.
 * @property stale routers that can't confirm their configuration with the platform, themselves or over others.
 */
@Serializable
internal data class DomainSummary(
    val domain: FailureDomainId,
    val inService: Boolean,
    val oldest: Generation?,
    val newest: Generation?,
    val confirming: Int,
    val behind: List<String>,
    val silent: List<String>,
    val stale: List<String>,
) {
    /** Routers known of the domain. */
    val routers: Int get() = confirming + behind.size + silent.size
}

/**
 * What `almondhaven status` tells.
 *
 * @property accepted generation accepted by the platform; null when it didn't answer.
 * @property unknown addresses that the operator named at which nobody answered.
 */
@Serializable
internal data class FleetSummary(
    val accepted: Generation?,
    val domains: List<DomainSummary>,
    val unknown: List<String>,
) {
    /** Whether every known router holds the accepted generation. */
    val complete: Boolean get() = accepted != null && unknown.isEmpty() && domains.all { it.confirming == it.routers }

    /** The summary for people, a line for each domain. */
    fun lines(): List<String> =
        buildList {
            add("accepted generation: ${accepted ?: "unknown, the platform doesn't answer"}")
            add(ROW.format("domain", "service", "in force", "confirm", "remarks"))
            domains.forEach { add(it.row()) }
            unknown.forEach { add("no router answers at $it") }
            add(if (complete) "in force everywhere" else "not confirmed everywhere")
        }

    private fun DomainSummary.row(): String {
        val service = if (inService) "in" else "OUT"
        return ROW.format(domain, service, inForce(), "$confirming/$routers", remarks()).trimEnd()
    }

    private fun DomainSummary.inForce(): String =
        when {
            oldest == null -> "-"
            oldest == newest -> "$oldest"
            else -> "$oldest..$newest"
        }

    private fun DomainSummary.remarks(): String =
        listOf("behind" to behind, "silent" to silent, "stale" to stale)
            .filter { it.second.isNotEmpty() }
            .joinToString("; ") { (what, routers) -> "$what: ${routers.joinToString()}" }

    companion object {
        private const val ROW = "%-16s %-8s %-12s %-8s %s"

        /** Sums up [fleet] against the [catalogue] in force, which is null when the platform didn't answer. */
        fun of(
            catalogue: Catalogue?,
            fleet: ProbedFleet,
        ): FleetSummary {
            val answered = fleet.answered.values
            val wanted = catalogue?.generation ?: answered.maxOfOrNull { it.generation } ?: Generation.NONE
            val domains =
                catalogue?.failureDomains.orEmpty().map { it.id } +
                    answered.map { it.failureDomain } +
                    fleet.silent.map { it.failureDomain }
            val out =
                catalogue
                    ?.failureDomains
                    .orEmpty()
                    .filter { it.outOfService }
                    .map { it.id }
            val summaries = domains.distinct().map { summary(it, it !in out, wanted, fleet) }
            return FleetSummary(catalogue?.generation, summaries, fleet.silentSeeds)
        }

        private fun summary(
            domain: FailureDomainId,
            inService: Boolean,
            wanted: Generation,
            fleet: ProbedFleet,
        ): DomainSummary {
            val own = fleet.answered.values.filter { it.failureDomain == domain }
            val (confirming, behind) = own.partition { it.generation >= wanted }
            return DomainSummary(
                domain,
                inService,
                own.minOfOrNull { it.generation },
                own.maxOfOrNull { it.generation },
                confirming.size,
                behind.map { it.name() },
                fleet.silent.filter { it.failureDomain == domain }.map { "${it.id} (${it.peerAddress})" },
                own.filter { it.staleSince != null }.map { it.name() },
            )
        }

        private fun PeerStatus.name(): String = "$id at $generation"
    }
}
