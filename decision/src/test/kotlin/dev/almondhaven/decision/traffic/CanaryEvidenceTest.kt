package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CanaryEvidenceTest {
    @Nested
    inner class `a canary that fails on one route in twenty answers` {
        private fun evidence() =
            CanaryEvidence().apply {
                repeat(400) { record("busy", isCanary = false, failed = it % 10 == 0) }
                repeat(150) { record("busy", isCanary = true, failed = it % 10 == 0) }
            }

        @Test
        fun `is found on that route`() {
            val evidence = evidence()
            val before = evidence.isCanaryWorse(routers = 37)
            repeat(8) { evidence.record("rare", isCanary = true, failed = it % 4 != 0) }

            expectThat(listOf(before, evidence.isCanaryWorse(routers = 37))).isEqualTo(listOf(false, true))
        }

        @Test
        fun `is found from what other routers announce, of which the newest counts once`() {
            val evidence = evidence()
            (1..8).forEach { router ->
                evidence.recordAnnounced("$router", "rare", CanaryCounts(0, 0, 1, 1))
                evidence.recordAnnounced("$router", "rare", CanaryCounts(0, 0, 0, 0))
                evidence.recordAnnounced("$router", "rare", CanaryCounts(0, 0, 1, 1))
            }

            expectThat(evidence.isCanaryWorse(routers = 37)).isEqualTo(true)
            expectThat("$evidence").isEqualTo("old=40/400 new=23/158")
        }
    }

    @Nested
    inner class `what a single router has seen` {
        @Test
        fun `is not representative until three others have announced theirs, however often one of them does`() {
            val evidence = CanaryEvidence()
            val known =
                listOf("a", "a", "b", "c").map { router ->
                    evidence.recordAnnounced(router, "route", CanaryCounts(10, 1, 10, 4))
                    evidence.isRepresentative
                }
            expectThat(known).isEqualTo(listOf(false, false, false, true))
        }

        /** The counts with which a router rejected a good version, whose slow answers came from slow endpoints. */
        @Test
        fun `is representative if most answers are slow, not if a third of them are`() {
            fun evidence(slow: Int) =
                CanaryEvidence().apply { repeat(45) { record("route", isCanary = true, failed = it < slow) } }
            expectThat(listOf(14, 30).map { evidence(it).isRepresentative }).isEqualTo(listOf(false, true))
        }
    }
}
