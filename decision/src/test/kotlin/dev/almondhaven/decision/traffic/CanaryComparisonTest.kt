package dev.almondhaven.decision.traffic

import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.double
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
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
