package dev.almondhaven.decision.traffic

import dev.almondhaven.model.FailureDomainId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class DomainCostTest {
    @Nested
    inner class `the price of leaving` {
        private val own = FailureDomainId("here")
        private val far = FailureDomainId("there")
        private val distances = DomainDistances(own)
        private val cost = DomainCost(own, distances)

        @Test
        fun `is the longer round trip and the bytes, and nothing at home`() {
            distances.record(own, 0.5)
            distances.record(far, 3.5)
            expectThat(listOf(cost.millis(far, 15_000), cost.millis(far, 0), cost.millis(own, 15_000)))
                .isEqualTo(listOf(6.0, 3.0, 0.0))
        }

        @Test
        fun `is a default until a connection was opened, and ignores times that can't be`() {
            distances.record(far, -1.0)
            distances.record(far, 1e9)
            distances.record(far, Double.NaN)
            expectThat(cost.millis(far, 0)).isEqualTo(5.0)
        }

        @Test
        fun `follows the shortest times, since a busy router only adds to them`() {
            listOf(40.0, 3.0, 3.1, 45.0, 3.0, 60.0, 3.2).forEach { distances.record(far, it) }
            expectThat(cost.millis(far, 0)).isLessThan(8.0)
        }
    }
}
