package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class ColdGateTest {
    private val milli = 1_000_000L
    private val second = 1_000 * milli

    @Nested
    inner class `a cold endpoint` {
        @Test
        fun `gets no more from all routers together than it bears`() {
            val routers = 5
            val gates = List(routers) { ColdGate(0).apply { coldUntil(10 * second) } }
            var sent = 0
            for (now in 0 until 3 * second step milli) {
                gates.filter { it.admits(now) }.forEach { gate ->
                    gate.sent(now, perSecond = 13.0, routers)
                    sent++
                }
            }
            // One request of each router comes at once; afterwards each keeps to its part.
            expectThat(sent).isLessThanOrEqualTo(3 * 13 + routers)
        }

        @Test
        fun `is free again when it is warm`() {
            val gate = ColdGate(0).apply { coldUntil(second) }
            gate.sent(0, perSecond = 0.5, routers = 1)
            expectThat(listOf(0L, second - 1, second).map(gate::admits)).isEqualTo(listOf(false, false, true))
        }

        @Test
        fun `stays cold as long as the latest sign says`() {
            val gate = ColdGate(0).apply { coldUntil(3 * second) }
            gate.coldUntil(second)
            expectThat(gate.cold(2 * second)).isEqualTo(true)
        }
    }
}
