package dev.almondhaven.gateway.state

import dev.almondhaven.traffic.RollOutState
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

/** Rolls a good version out in 24 s, ordered 2 s after the start, while routers hear of it late. */
class RollOutFleetTest {
    private val orderedAt = 2_000L
    private val endsAt = orderedAt + RollOutFleet.ROLL_OUT_MILLIS + 2_000

    /** Checks each fleet of [sizes] that [disturb] disturbs, with other luck each time. */
    private fun checkFleets(
        sizes: List<Int> = listOf(2, 5, 37),
        lostDatagrams: Double = 0.01,
        iterations: Int = 3,
        disturb: RollOutFleet.(routers: Int) -> Unit,
        check: RollOutFleet.() -> Unit = {},
    ): Unit =
        runBlocking {
            sizes.forEach { routers ->
                checkAll(PropTestConfig(seed = 44, iterations = iterations), Arb.int()) { seed ->
                    val fleet = RollOutFleet(routers, seed, lostDatagrams)
                    fleet.startSessions(SESSIONS)
                    fleet.at(orderedAt) { fleet.order() }
                    fleet.disturb(routers)
                    fleet.run(endsAt)
                    expectThat(fleet.count()).isGreaterThan(LEAST_RUNS)
                    expectThat(fleet.wrongMoves(orderedAt)).isEmpty()
                    fleet.check()
                }
            }
        }

    @Nested
    inner class `a session keeps its version, and the roll-out is done in time, when` {
        private fun RollOutFleet.isDoneInTime() {
            expectThat(storedState).isEqualTo(RollOutState.DONE)
            expectThat(doneAt).isNotNull().isLessThan(orderedAt + RollOutFleet.ROLL_OUT_MILLIS)
        }

        /** Guards against a restarted router that begins the roll-out anew. */
        @Test
        fun `a router is restarted in the first half`(): Unit =
            checkFleets(disturb = { at(6_000) { restart(0, downMillis = 3_000) } }) { isDoneInTime() }

        @Test
        fun `a router is restarted while the share grows`(): Unit =
            checkFleets(disturb = { at(15_000) { restart(0, downMillis = 1_500) } }) { isDoneInTime() }

        @Test
        fun `all routers are restarted in turn`(): Unit =
            checkFleets(
                disturb = { routers ->
                    repeat(routers) { at(3_000L + it * (20_000 / routers)) { restart(it, downMillis = 1_000) } }
                },
            ) { isDoneInTime() }

        /** Guards against a router that counts the roll-out from the time at which it reaches the store again. */
        @Test
        fun `a router hears of the order late because it was cut off from the store`(): Unit =
            checkFleets(
                disturb = { at(1_000) { cutOff(0, millis = 12_000, alsoFromPeers = false) } },
            ) { isDoneInTime() }

        @Test
        fun `a router was cut off from the store and from other routers`(): Unit =
            checkFleets(disturb = { at(1_000) { cutOff(0, millis = 12_000, alsoFromPeers = true) } }) { isDoneInTime() }

        /** Guards against a monotonic clock that does not count the time in which the process was suspended. */
        @Test
        fun `a router is suspended`(): Unit =
            checkFleets(disturb = { at(8_000) { suspend(0, millis = 5_000) } }) { isDoneInTime() }
    }

    @Nested
    inner class `a session keeps its version in an undisturbed fleet of 35 routers` {
        private fun wrongMoves(
            sessions: Int,
            pauseMillis: Long,
            lostDatagrams: Double,
        ): Int =
            (1..SEEDS).sumOf { seed ->
                val fleet = RollOutFleet(FLEET, seed, lostDatagrams, pauseMillis)
                fleet.startSessions(sessions)
                fleet.at(orderedAt) { fleet.order() }
                fleet.run(endsAt)
                fleet.wrongMoves(orderedAt).size
            }

        /** Guards against a canary that begins before all routers have heard of the order. */
        @Test
        fun `when its requests follow each other closely`() {
            expectThat(wrongMoves(sessions = 300, pauseMillis = 700, lostDatagrams = 0.0)).isEqualTo(0)
        }

        /** Guards against a router that missed the end of a run and keeps the session on a version that it has left. */
        @Test
        fun `when it pauses for as long as it may, and datagrams are lost`() {
            expectThat(wrongMoves(sessions = 1_200, pauseMillis = 4_000, lostDatagrams = 0.01)).isEqualTo(0)
        }
    }

    @Nested
    inner class `when all routers are restarted at once` {
        @Test
        fun `while the share grows, no session goes back, and the roll-out is done soon`(): Unit =
            checkFleets(
                disturb = { routers -> at(15_800) { repeat(routers) { restart(it, downMillis = 1_000L + it * 7) } } },
                check = {
                    expectThat(movesBack()).isEmpty()
                    expectThat(doneAt).isNotNull().isLessThan(orderedAt + RollOutFleet.ROLL_OUT_MILLIS + 2_000)
                },
            )

        @Test
        fun `in the first half, the roll-out resumes at the last stored milestone`(): Unit =
            checkFleets(
                disturb = { routers -> at(10_000) { repeat(routers) { restart(it, downMillis = 1_000) } } },
                check = {
                    // Milestone at 8 s, restart at 11 s: half of the time has passed at 17.48 s, all moved at 20.84 s.
                    expectThat(countOf(RollOutFleet.OLD, from = 22_000, to = endsAt)).isEqualTo(0)
                },
            )
    }

    private companion object {
        const val SESSIONS = 40
        const val LEAST_RUNS = 500
        const val FLEET = 35
        const val SEEDS = 10
    }
}
