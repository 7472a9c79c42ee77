package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class WarmUpRateLimiterTest {
    private val milli = 1_000_000L
    private val second = 1_000 * milli

    @Nested
    inner class `a cold endpoint` {
        @Test
        fun `gets no more from all routers together than it bears`() {
            val routers = 5
            val gates = List(routers) { WarmUpRateLimiter(0).apply { extendTo(10 * second) } }
            var sent = 0
            for (now in 0 until 3 * second step milli) {
                gates.filter { it.admits(now) }.forEach { gate ->
                    gate.recordSent(now, perSecond = 13.0, routers)
                    sent++
                }
            }
            // One request of each router comes at once; afterwards each keeps to its part.
            expectThat(sent).isLessThanOrEqualTo(3 * 13 + routers)
        }

        @Test
        fun `is free again when it is warm`() {
            val gate = WarmUpRateLimiter(0).apply { extendTo(second) }
            gate.recordSent(0, perSecond = 0.5, routers = 1)
            expectThat(listOf(0L, second - 1, second).map(gate::admits)).isEqualTo(listOf(false, false, true))
        }

        @Test
        fun `stays cold as long as the latest sign says`() {
            val gate = WarmUpRateLimiter(0).apply { extendTo(3 * second) }
            gate.extendTo(second)
            expectThat(gate.isCold(2 * second)).isEqualTo(true)
        }
    }
}
