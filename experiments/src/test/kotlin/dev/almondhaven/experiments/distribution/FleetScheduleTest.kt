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

    private fun convergedFleet(
        seed: Long,
        size: Int = 6,
    ): VirtualFleet {
        val fleet = VirtualFleet(seed)
        repeat(size) { fleet.start(domains[it % domains.size]) }
        fleet.publishNext()
        expectThat(fleet.runUntil(30.seconds, 100.milliseconds) { fleet.hasConverged() }).isNotNull()
        return fleet
    }

    /** Injects or removes a random fault, or publishes the next generation. */
    private fun VirtualFleet.injectRandomFault() {
        val router = routers[random.nextInt(routers.size)]
        val other = domains[random.nextInt(domains.size)]
        when (random.nextInt(12)) {
            0 -> router.pause()
            1, 2 -> routers.filter { it.paused }.forEach { it.resume() }
            3 -> if (!router.paused) restart(router)
            4 -> network.partitions += DirectedPartition(router.self.failureDomain.value, other)
            5 -> network.partitions.clear()
            6 -> platform.outage = !platform.outage
            7 -> platform.unreachableDomains += other
            8 -> platform.unreachableDomains.clear()
            9 -> network.faults = NetworkFaults(random.nextDouble() / 3, random.nextDouble() / 4, 200.milliseconds)
            10 -> platform.hangingWatchShare = random.nextDouble() / 2
            else -> publishNext()
        }
    }

    private fun VirtualFleet.clearFaults() {
        routers.filter { it.paused }.forEach { it.resume() }
        network.partitions.clear()
        network.faults = NetworkFaults()
        platform.outage = false
        platform.unreachableDomains.clear()
        platform.hangingWatchShare = 0.0
        platform.staleReadShare = 0.0
    }

    @Nested
    inner class `any schedule of losses, delays, partitions, pauses, restarts and outages` {
        @Test
        fun `keeps generations increasing, and the fleet converges within the bound after all faults end`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 20_261_204, iterations = SCHEDULES), Arb.long()) { seed ->
                    val fleet = convergedFleet(seed)
                    fleet.platform.staleReadShare = 0.3
                    repeat(FAULTS_PER_SCHEDULE) {
                        fleet.injectRandomFault()
                        fleet.run((fleet.random.nextInt(6_000) + 1).milliseconds)
                    }
                    fleet.clearFaults()

                    val agreedAfter = fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.hasConverged() }
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
        fun `is removed from the members and rejoins when it resumes`() {
            val fleet = convergedFleet(seed = 1)
            val paused = fleet.routers[2]
            paused.pause()
            fleet.run(30.seconds)
            expectThat(fleet.routers[0].memberIds).not().contains(paused.self.id.value)
            paused.resume()

            expectThat(fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.hasConverged() }).isNotNull()
        }

        @Test
        fun `does not suspect its peers for messages missed during the pause`() {
            val fleet = convergedFleet(seed = 2)
            val paused = fleet.routers[2]
            paused.pause()
            fleet.run(3.minutes)
            paused.resume()
            fleet.run(1.seconds)

            expectThat(paused.memberIds.size).isEqualTo(fleet.routers.size)
        }
    }

    @Nested
    inner class `a partition` {
        @Test
        fun `in one direction removes no member`() {
            val fleet = convergedFleet(seed = 3)
            fleet.network.partitions += DirectedPartition("west", "east")
            fleet.run(1.minutes)

            expectThat(fleet.hasConverged()).isTrue()
        }

        @Test
        fun `of a whole domain keeps it at its generation, marked as stale, until the partition ends`() {
            val fleet = convergedFleet(seed = 4)
            val west = fleet.routers.filter { it.self.failureDomain.value == "west" }
            domains.drop(1).forEach {
                fleet.network.partitions += listOf(DirectedPartition("west", it), DirectedPartition(it, "west"))
            }
            fleet.platform.unreachableDomains += "west"
            val before = fleet.platform.head.generation
            fleet.publishNext()
            fleet.run(2.minutes)
            expectThat(west.map { it.generation to it.stale }.distinct()).isEqualTo(listOf(before to true))
            expectThat(west.first().memberIds).isEqualTo(west.map { it.self.id.value }.sorted())
            fleet.clearFaults()

            expectThat(fleet.runUntil(AGREEMENT_BOUND, 1.seconds) { fleet.hasConverged() }).isNotNull()
            fleet.run(5.seconds)
            expectThat(fleet.routers.any { it.stale }).isFalse()
        }
    }

    @Nested
    inner class `a router that starts while the platform is down` {
        @Test
        fun `takes the newest configuration from its peers`() {
            val fleet = convergedFleet(seed = 5)
            fleet.platform.outage = true
            fleet.run(5.seconds)
            val newcomer = fleet.start("west")
            fleet.run(10.seconds)

            expectThat(newcomer.generation).isEqualTo(fleet.platform.head.generation)
        }
    }

    private companion object {
        const val SCHEDULES = 60
        const val FAULTS_PER_SCHEDULE = 25
        val AGREEMENT_BOUND: Duration = 60.seconds
    }
}
