package dev.almondhaven.experiments.distribution

import dev.almondhaven.catalogue.Catalogue
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class FleetScheduleTest {
    private val domains = listOf("west", "east", "north")

    private fun VirtualFleet.publishNext() {
        platform.publish(Catalogue(platform.head.generation.next()))
    }

    private fun settledFleet(
        seed: Long,
        size: Int = 6,
    ): VirtualFleet {
        val fleet = VirtualFleet(seed)
        repeat(size) { fleet.start(domains[it % domains.size]) }
        fleet.publishNext()
        expectThat(fleet.runUntil(30.seconds, 100.milliseconds) { fleet.converged() }).isNotNull()
        return fleet
    }

    /** Draws the next thing that goes wrong, or right again. */
    private fun VirtualFleet.disturb() {
        val router = routers[random.nextInt(routers.size)]
        val other = domains[random.nextInt(domains.size)]
        when (random.nextInt(12)) {
            0 -> router.pause()
            1, 2 -> routers.filter { it.paused }.forEach { it.resume() }
            3 -> if (!router.paused) restart(router)
            4 -> network.cuts += Cut(router.self.failureDomain.value, other)
            5 -> network.cuts.clear()
            6 -> platform.outage = !platform.outage
            7 -> platform.cutDomains += other
            8 -> platform.cutDomains.clear()
            9 -> network.faults = NetworkFaults(random.nextDouble() / 3, random.nextDouble() / 4, 200.milliseconds)
            10 -> platform.silentWatches = random.nextDouble() / 2
            else -> publishNext()
        }
    }

    private fun VirtualFleet.heal() {
        routers.filter { it.paused }.forEach { it.resume() }
        network.cuts.clear()
        network.faults = NetworkFaults()
        platform.outage = false
        platform.cutDomains.clear()
        platform.silentWatches = 0.0
        platform.staleReads = 0.0
    }

    @Nested
    inner class `any schedule of losses, delays, cuts, pauses, restarts and outages` {
        @Test
        fun `keeps generations rising, and the fleet agrees within the bound once it is healed`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 20_261_204, iterations = SCHEDULES), Arb.long()) { seed ->
                    val fleet = settledFleet(seed)
                    fleet.platform.staleReads = 0.3
                    repeat(DISTURBANCES) {
                        fleet.disturb()
                        fleet.run((fleet.random.nextInt(6_000) + 1).milliseconds)
                    }
                    fleet.heal()

                    val agreedAfter = fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.converged() }
                    expectThat(agreedAfter).describedAs(fleet.describe()).isNotNull()
                    fleet.allRouters.forEach { router ->
                        val generations = router.inForce.map { it.generation.value }
                        expectThat(generations).isEqualTo(generations.distinct().sorted())
                    }
                }
            }
        }
    }

    @Nested
    inner class `a paused router` {
        @Test
        fun `is dropped, and comes back when it wakes`() {
            val fleet = settledFleet(seed = 1)
            val paused = fleet.routers[2]
            paused.pause()
            fleet.run(30.seconds)
            expectThat(fleet.routers[0].memberIds).not().contains(paused.self.id.value)
            paused.resume()

            expectThat(fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.converged() }).isNotNull()
        }

        @Test
        fun `suspects nobody for what it missed`() {
            val fleet = settledFleet(seed = 2)
            val paused = fleet.routers[2]
            paused.pause()
            fleet.run(3.minutes)
            paused.resume()
            fleet.run(1.seconds)

            expectThat(paused.memberIds.size).isEqualTo(fleet.routers.size)
        }
    }

    @Nested
    inner class `a cut` {
        @Test
        fun `in one direction drops nobody`() {
            val fleet = settledFleet(seed = 3)
            fleet.network.cuts += Cut("west", "east")
            fleet.run(1.minutes)

            expectThat(fleet.converged()).isTrue()
        }

        @Test
        fun `of a domain from all leaves it at its generation, stale, until it is over`() {
            val fleet = settledFleet(seed = 4)
            val west = fleet.routers.filter { it.self.failureDomain.value == "west" }
            domains.drop(1).forEach { fleet.network.cuts += listOf(Cut("west", it), Cut(it, "west")) }
            fleet.platform.cutDomains += "west"
            val before = fleet.platform.head.generation
            fleet.publishNext()
            fleet.run(2.minutes)
            expectThat(west.map { it.generation to it.stale }.distinct()).isEqualTo(listOf(before to true))
            expectThat(west.first().memberIds).isEqualTo(west.map { it.self.id.value }.sorted())
            fleet.heal()

            expectThat(fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.converged() }).isNotNull()
            fleet.run(5.seconds)
            expectThat(fleet.routers.any { it.stale }).isFalse()
        }
    }

    @Nested
    inner class `a router that starts while the platform is down` {
        @Test
        fun `takes the newest configuration from its peers`() {
            val fleet = settledFleet(seed = 5)
            fleet.platform.outage = true
            fleet.run(5.seconds)
            val newcomer = fleet.start("west")
            fleet.run(10.seconds)

            expectThat(newcomer.generation).isEqualTo(fleet.platform.head.generation)
        }
    }

    private companion object {
        const val SCHEDULES = 60
        const val DISTURBANCES = 25
        val AGREEMENT_BOUND: Duration = 60.seconds
    }
}
