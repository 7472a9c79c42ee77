package dev.almondhaven.operator

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.peer.PeerStatus
import kotlinx.serialization.Serializable

/**
 * State of one failure domain, as reported by its routers.
 *
 * @property oldest lowest generation in force on a router that responded; null if none did.
 * @property newest highest generation in force on a router that responded; null if none did.
 * @property confirming number of routers that hold the accepted generation, or a newer one.
 * @property behind routers that responded with an older generation.
 * @property silent routers that didn't respond.
 * @property stale routers that can't confirm their configuration with the platform, directly or through peers.
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
    /** Number of known routers in the domain. */
    val routers: Int get() = confirming + behind.size + silent.size
}

/**
 * Result of `almondhaven status`.
 *
 * @property accepted newest generation that the platform accepted; null if it didn't respond.
 * @property unknown addresses given by the operator at which no known router responded.
 */
@Serializable
internal data class FleetSummary(
    val accepted: Generation?,
    val domains: List<DomainSummary>,
    val unknown: List<String>,
) {
    /** Whether every known router holds the accepted generation. */
    val complete: Boolean get() = accepted != null && unknown.isEmpty() && domains.all { it.confirming == it.routers }

    /** The summary as a text table with one line per domain. */
    fun lines(): List<String> =
        buildList {
            add("accepted generation: ${accepted ?: "unknown, the platform doesn't respond"}")
            add(ROW_FORMAT.format("domain", "service", "in force", "confirm", "remarks"))
            domains.forEach { add(it.row()) }
            unknown.forEach { add("no router responds at $it") }
            add(if (complete) "in force everywhere" else "not confirmed everywhere")
        }

    private fun DomainSummary.row(): String {
        val service = if (inService) "in" else "OUT"
        return ROW_FORMAT.format(domain, service, generationRange(), "$confirming/$routers", remarks()).trimEnd()
    }

    private fun DomainSummary.generationRange(): String =
        when {
            oldest == null -> "-"
            oldest == newest -> "$oldest"
            else -> "$oldest..$newest"
        }

    private fun DomainSummary.remarks(): String =
        listOf("behind" to behind, "silent" to silent, "stale" to stale)
            .filter { it.second.isNotEmpty() }
            .joinToString("; ") { (label, routers) -> "$label: ${routers.joinToString()}" }

    companion object {
        private const val ROW_FORMAT = "%-16s %-8s %-12s %-8s %s"

        /**
         * Compares [fleet] with the [catalogue] in force. Without a catalogue, since the platform didn't respond, it
         * compares with the newest generation that a router reports.
         */
        fun of(
            catalogue: Catalogue?,
            fleet: ProbedFleet,
        ): FleetSummary {
            val responses = fleet.responses.values
            val expected = catalogue?.generation ?: responses.maxOfOrNull { it.generation } ?: Generation.NONE
            val domains =
                catalogue?.failureDomains.orEmpty().map { it.id } +
                    responses.map { it.failureDomain } +
                    fleet.unresponsive.map { it.failureDomain }
            val outOfService =
                catalogue
                    ?.failureDomains
                    .orEmpty()
                    .filter { it.outOfService }
                    .map { it.id }
            val summaries = domains.distinct().map { summary(it, it !in outOfService, expected, fleet) }
            return FleetSummary(catalogue?.generation, summaries, fleet.unresponsiveSeeds)
        }

        private fun summary(
            domain: FailureDomainId,
            inService: Boolean,
            expected: Generation,
            fleet: ProbedFleet,
        ): DomainSummary {
            val statuses = fleet.responses.values.filter { it.failureDomain == domain }
            val (confirming, behind) = statuses.partition { it.generation >= expected }
            return DomainSummary(
                domain,
                inService,
                statuses.minOfOrNull { it.generation },
                statuses.maxOfOrNull { it.generation },
                confirming.size,
                behind.map { it.label() },
                fleet.unresponsive.filter { it.failureDomain == domain }.map { "${it.id} (${it.peerAddress})" },
                statuses.filter { it.staleSince != null }.map { it.label() },
            )
        }

        private fun PeerStatus.label(): String = "$id at $generation"
    }
}
