package dev.almondhaven.operator

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerMember
import dev.almondhaven.peer.PeerStatus
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly

class FleetSummaryTest {
    private val west = FailureDomainId("west")
    private val east = FailureDomainId("east")
    private val catalogue =
        Catalogue(
            Generation(42),
            listOf(FailureDomain(west, RegionId("wales")), FailureDomain(east, RegionId("wales"), outOfService = true)),
        )

    private fun status(
        name: String,
        domain: FailureDomainId,
        generation: Long,
        staleSince: Long? = null,
    ) = PeerStatus(RouterId(name), domain, Generation(generation), staleSince = staleSince)

    @Nested
    inner class `a fleet` {
        @Test
        fun `that holds the accepted generation is complete`() {
            val fleet = ProbedFleet(mapOf("a:1" to status("w1", west, 42)), emptyList(), emptyList())

            expectThat(FleetSummary.of(catalogue, fleet).lines()).containsExactly(
                "accepted generation: 42",
                "domain           service  in force     confirm  remarks",
                "west             in       42           1/1",
                "east             OUT      -            0/0",
                "in force everywhere",
            )
        }

        @Test
        fun `with routers that are behind, silent or stale lists them`() {
            val fleet =
                ProbedFleet(
                    mapOf("a:1" to status("w1", west, 42), "a:2" to status("w2", west, 40, staleSince = 1)),
                    listOf(PeerMember(RouterId("e1"), east, "a:3")),
                    listOf("a:9"),
                )

            expectThat(FleetSummary.of(catalogue, fleet).lines()).containsExactly(
                "accepted generation: 42",
                "domain           service  in force     confirm  remarks",
                "west             in       40..42       1/2      behind: w2 at 40; stale: w2 at 40",
                "east             OUT      -            0/1      silent: e1 (a:3)",
                "no router responds at a:9",
                "not confirmed everywhere",
            )
        }

        @Test
        fun `is compared with its newest router while the platform is down`() {
            val fleet =
                ProbedFleet(
                    mapOf("a:1" to status("w1", west, 42), "a:2" to status("e1", east, 41)),
                    emptyList(),
                    emptyList(),
                )

            expectThat(FleetSummary.of(null, fleet).lines()).containsExactly(
                "accepted generation: unknown, the platform doesn't respond",
                "domain           service  in force     confirm  remarks",
                "west             in       42           1/1",
                "east             in       41           0/1      behind: e1 at 41",
                "not confirmed everywhere",
            )
        }
    }
}
