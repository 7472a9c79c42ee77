package dev.almondhaven.decision.traffic

import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.double
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class CanaryComparisonTest {
    private val draws = Arb.double(0.0, 1.0)

    /** Answers of the canary until it is rejected; null if that takes more than [maximumAnswers]. */
    private fun answersUntilRejected(
        canaryRate: Double,
        oldRate: Double,
        maximumAnswers: Int,
        seed: Long,
    ): Int? {
        val random = RandomSource.seeded(seed)
        val comparison = CanaryComparison()

        fun fails(rate: Double) = draws.sample(random).value < rate
        for (answer in 1..maximumAnswers) {
            repeat(10) { comparison.record(isCanary = false, fails(oldRate)) }
            comparison.record(isCanary = true, fails(canaryRate))
            if (comparison.isCanaryWorse()) return answer
        }
        return null
    }

    @Nested
    inner class `a canary that fails two requests in five` {
        @Test
        fun `is rejected within 30 answers in nine of ten roll-outs`() {
            val rejectedAfter =
                (1L..200L).map {
                    answersUntilRejected(canaryRate = 0.4, oldRate = 0.0, maximumAnswers = 30, seed = it)
                }
            expectThat(rejectedAfter.count { it == null }).isLessThanOrEqualTo(20)
        }
    }

    /**
     * Answers of the canary, spread evenly over the routers, until one of them rejects it; null after 400 answers.
     */
    private fun fleetAnswersUntilRejected(
        canaryRate: Double,
        oldRate: Double,
        routers: Int,
        pooled: Boolean,
        seed: Long,
    ): Int? {
        val random = RandomSource.seeded(seed)
        val fleet = List(routers) { CanaryComparison() }

        fun fails(rate: Double) = draws.sample(random).value < rate
        for (answer in 1..400) {
            val router = (draws.sample(random).value * routers).toInt()
            repeat(10) { fleet[router].record(isCanary = false, fails(oldRate)) }
            fleet[router].record(isCanary = true, fails(canaryRate))
            val decider = if (pooled) fleet.first() else fleet[router]
            if (decider !== fleet[router]) decider.recordAnnounced("$router", fleet[router].ownCounts)
            if (decider.isCanaryWorse(routers)) return answer
        }
        return null
    }

    @Nested
    inner class `a fleet of 37 routers` {
        private fun lateRejections(pooled: Boolean) =
            (1L..100L).count { seed ->
                val answers = fleetAnswersUntilRejected(0.4, 0.0, routers = 37, pooled, seed)
                answers == null || answers > 30
            }

        @Test
        fun `rejects a canary that fails two requests in five within 30 answers, as a single router does`() {
            expectThat(lateRejections(pooled = true)).isLessThanOrEqualTo(10)
        }

        @Test
        fun `needs more answers if no router announces what it sees`() {
            expectThat(lateRejections(pooled = false)).isGreaterThan(90)
        }

        @Test
        fun `rejects a good canary in one of fifty roll-outs at most`() {
            val rejected =
                (1L..150L).count { fleetAnswersUntilRejected(0.1, 0.1, routers = 37, pooled = true, it) != null }

            expectThat(rejected).isLessThanOrEqualTo(3)
        }
    }

    @Nested
    inner class `a canary that is as good as the old version` {
        @Test
        fun `is rejected in one of fifty roll-outs at most`() {
            val rejectedAfter =
                (1L..300L).map {
                    answersUntilRejected(canaryRate = 0.14, oldRate = 0.14, maximumAnswers = 150, seed = it)
                }
            expectThat(rejectedAfter.count { it != null }).isLessThanOrEqualTo(6)
        }
    }
}
