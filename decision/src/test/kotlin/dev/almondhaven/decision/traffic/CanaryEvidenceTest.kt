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
}
