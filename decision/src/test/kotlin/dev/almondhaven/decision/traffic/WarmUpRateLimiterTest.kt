package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class WarmUpRateLimiterTest {
    private val millisecond = 1_000_000L
    private val second = 1_000 * millisecond

    @Nested
    inner class `a cold endpoint` {
        @Test
        fun `gets no more requests from all routers together than its limit`() {
            val routers = 5
            val limiters = List(routers) { WarmUpRateLimiter(0).apply { extendTo(10 * second) } }
            var sent = 0
            for (now in 0 until 3 * second step millisecond) {
                limiters.filter { it.admits(now) }.forEach { limiter ->
                    limiter.recordSent(now, perSecond = 13.0, routers)
                    sent++
                }
            }
            // Each router sends its first request at once and then keeps to its share.
            expectThat(sent).isLessThanOrEqualTo(3 * 13 + routers)
        }

        @Test
        fun `is unlimited once it is warm`() {
            val limiter = WarmUpRateLimiter(0).apply { extendTo(second) }
            limiter.recordSent(0, perSecond = 0.5, routers = 1)
            expectThat(listOf(0L, second - 1, second).map(limiter::admits)).isEqualTo(listOf(false, false, true))
        }

        @Test
        fun `stays cold until the latest end that was reported`() {
            val limiter = WarmUpRateLimiter(0).apply { extendTo(3 * second) }
            limiter.extendTo(second)
            expectThat(limiter.isCold(2 * second)).isEqualTo(true)
        }
    }
}
