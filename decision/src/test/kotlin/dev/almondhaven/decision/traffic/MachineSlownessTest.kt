package dev.almondhaven.decision.traffic

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards the decision not to place requests by what an endpoint stated of its machine some time ago. */
class MachineSlownessTest {
    /**
     * Three endpoints whose neighbours take processor time for 90 ms in each 600 ms, at random moments, which makes work
     * take 2.5 times as long. Requests avoid the endpoints that were slow [ageMillis] ago; null to ignore what they state.
     */
    private fun meanMillis(ageMillis: Int?): Double {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(5L)
        val episodes = List(ENDPOINTS) { List(REPLAY_MILLIS / PERIOD + 1) { random.nextInt(PERIOD - EPISODE) } }

        fun isSlow(
            endpoint: Int,
            at: Int,
        ): Boolean {
            if (at < 0) return false
            val start = episodes[endpoint][at / PERIOD]
            return at % PERIOD in start until start + EPISODE
        }
        var total = 0.0
        var requests = 0
        for (now in 1_000 until REPLAY_MILLIS step 8) {
            val stated = (0 until ENDPOINTS).filter { ageMillis == null || !isSlow(it, now - ageMillis) }
            val candidates = stated.ifEmpty { (0 until ENDPOINTS).toList() }
            val chosen = candidates[random.nextInt(candidates.size)]
            total += WORK_MILLIS * if (isSlow(chosen, now)) 2.5 else 1.0
            requests++
        }
        return total / requests
    }

    @Nested
    inner class `what an endpoint states of its machine` {
        private val ignored = meanMillis(null)

        @Test
        fun `helps if it is 20 ms old`() {
            expectThat(meanMillis(20)).isLessThan(ignored * 0.9)
        }

        @Test
        fun `is worth nothing if it is 300 ms old, as it mostly is in a large fleet`() {
            expectThat(meanMillis(300)).isGreaterThan(ignored * 0.97)
        }
    }

    private companion object {
        const val ENDPOINTS = 3
        const val WORK_MILLIS = 21.0
        const val PERIOD = 600
        const val EPISODE = 90
        const val REPLAY_MILLIS = 600_000
    }
}
