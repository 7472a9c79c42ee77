package dev.almondhaven.decision.rollout

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.ln

class MixtureTestTest {
    private fun everRejects(
        seed: Long,
        candidateRate: Double,
        referenceRate: Double,
        observations: Int,
    ): Boolean {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        var candidate = 0
        var reference = 0
        for (count in 1..observations) {
            if (random.nextDouble() < candidateRate) candidate++
            if (random.nextDouble() < referenceRate) reference++
            val evidence =
                MixtureTest.logEvidenceOfIncrease(
                    Sample(count.toLong(), candidate.toDouble()),
                    Sample(count.toLong(), reference.toDouble()),
                    MARGIN,
                )
            if (evidence > ln(1 / ALPHA)) return true
        }
        return false
    }

    @Nested
    inner class `a check after every observation` {
        @Test
        fun `rejects a rate at the margin no more often than alpha allows`() {
            val rejections = (1L..400L).count { everRejects(it, REFERENCE + MARGIN, REFERENCE, 1_000) }

            expectThat(rejections).isLessThanOrEqualTo((400 * ALPHA).toInt())
        }

        @Test
        fun `detects a rate far above the margin`() {
            val detections = (1L..50L).count { everRejects(it, 0.3, REFERENCE, 200) }

            expectThat(detections).isEqualTo(50)
        }
    }

    @Test
    fun `equal samples yield no evidence`() {
        expectThat(MixtureTest.logEvidenceOfIncrease(Sample(50, 5.0), Sample(50, 5.0), 0.0)).isEqualTo(0.0)
    }

    @Test
    fun `larger samples with the same means yield more evidence`() {
        val few = MixtureTest.logEvidenceOfIncrease(Sample(50, 20.0), Sample(50, 5.0), 0.02)
        val many = MixtureTest.logEvidenceOfIncrease(Sample(500, 200.0), Sample(500, 50.0), 0.02)

        expectThat(many).isGreaterThan(few)
    }

    private companion object {
        const val ALPHA = 0.05
        const val MARGIN = 0.02
        const val REFERENCE = 0.05
    }
}
