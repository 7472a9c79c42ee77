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

    /** Answers of the new version until it is found bad, at most [most]; the old version fails at [oldRate]. */
    private fun answersUntilBad(
        newRate: Double,
        oldRate: Double,
        most: Int,
        seed: Long,
    ): Int? {
        val random = RandomSource.seeded(seed)
        val evidence = CanaryComparison()

        fun fails(rate: Double) = draws.sample(random).value < rate
        for (answer in 1..most) {
            repeat(10) { evidence.record(isCanary = false, fails(oldRate)) }
            evidence.record(isCanary = true, fails(newRate))
            if (evidence.isCanaryWorse()) return answer
        }
        return null
    }

    @Nested
    inner class `a version that fails two requests in five` {
        @Test
        fun `is found within 30 answers in nine of ten roll-outs`() {
            val found = (1L..200L).map { answersUntilBad(newRate = 0.4, oldRate = 0.0, most = 30, seed = it) }
            expectThat(found.count { it == null }).isLessThanOrEqualTo(20)
        }
    }

    @Nested
    inner class `a version that is as good as the old one` {
        @Test
        fun `is taken for bad in one of fifty roll-outs at most`() {
            val found = (1L..300L).map { answersUntilBad(newRate = 0.14, oldRate = 0.14, most = 150, seed = it) }
            expectThat(found.count { it != null }).isLessThanOrEqualTo(6)
        }
    }
}
