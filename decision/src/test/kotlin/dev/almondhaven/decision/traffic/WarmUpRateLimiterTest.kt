package dev.almondhaven.decision.traffic

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class WarmUpRateLimiterTest {
    private val millisecond = 1_000_000L
    private val second = 1_000 * millisecond

    private fun limiter(
        perSecond: Double,
        routers: Int = 1,
        position: Int = 0,
        burst: Double = perSecond / 2 + 5,
    ) = WarmUpRateLimiter(0) { RateShare(perSecond, burst, routers, position) }

    private fun fleet(
        routers: Int,
        perSecond: Double,
    ) = List(routers) { limiter(perSecond, routers, it).apply { extendTo(20 * second, now = 0) } }

    /** Times at which the routers send to the endpoint if each has requests for it from [from] to [until] on. */
    private fun sendTimes(
        limiters: List<WarmUpRateLimiter>,
        from: Long,
        until: Long,
    ): List<Long> =
        (from until until step 5 * millisecond).flatMap { now ->
            limiters.filter { it.admits(now) }.map { limiter -> now.also(limiter::recordSent) }
        }

    private fun mostInOneSecond(times: List<Long>) =
        times.maxOfOrNull { from -> times.count { it in from until from + second } } ?: 0

    @Nested
    inner class `a cold endpoint` {
        @Test
        fun `gets no more requests from all routers together than its limit`() {
            val sent = sendTimes(fleet(routers = 5, perSecond = 13.0), from = 0, until = 3 * second).size

            expectThat(sent).isLessThanOrEqualTo(3 * 13 + 5)
        }

        @Test
        fun `is not idle while every router has requests for it`() {
            val sent = sendTimes(fleet(routers = 37, perSecond = 8.5), from = 0, until = 10 * second).size

            expectThat(sent).isGreaterThan(80)
        }

        @Test
        fun `is unlimited once it is warm`() {
            val limiter = limiter(perSecond = 0.5).apply { extendTo(second, now = 0) }
            limiter.recordSent(0)
            expectThat(listOf(0L, second - 1, second).map(limiter::admits)).isEqualTo(listOf(false, false, true))
        }

        @Test
        fun `is unlimited if the service has no limit`() {
            val limiter = limiter(perSecond = 0.0).apply { extendTo(second, now = 0) }
            limiter.recordSent(0)
            expectThat(limiter.admits(0)).isEqualTo(true)
        }

        @Test
        fun `stays cold until the latest end that was reported`() {
            val limiter = limiter(perSecond = 1.0).apply { extendTo(3 * second, now = 0) }
            limiter.extendTo(second, now = 0)
            expectThat(limiter.isCold(2 * second)).isEqualTo(true)
        }
    }

    @Nested
    inner class `a burst that reaches all routers of a fleet at once` {
        @Test
        fun `sends a cold endpoint no more in any second than it bears`() {
            runBlocking {
                checkAll(200, Arb.int(1..300), Arb.int(1..400), Arb.int(0..10_000)) { routers, tenths, startMillis ->
                    val perSecond = tenths / 10.0
                    val start = startMillis * millisecond
                    val times = sendTimes(fleet(routers, perSecond), start, start + 3 * second)

                    expectThat(mostInOneSecond(times).toDouble()).isLessThanOrEqualTo(perSecond * 1.5 + 5)
                }
            }
        }
    }
}
