package dev.almondhaven.decision.traffic

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class StatedRateLimitTest {
    private val millisecond = 1_000_000L
    private val second = 1_000 * millisecond

    private fun limit(
        routers: Int = 1,
        position: Int = 0,
    ) = StatedRateLimit(0) { RateShare(it, 2 * it + 5, routers, position) }

    /** Times at which routers that hear of the limit at [heardAt] send if each has requests all the time. */
    private fun sendTimes(
        perSecond: Double,
        heardAt: List<Long>,
        until: Long,
    ): List<Long> {
        val limits = heardAt.indices.map { limit(heardAt.size, it) }
        return (0L until until step 5 * millisecond).flatMap { now ->
            limits.indices.filter { heardAt[it] <= now }.mapNotNull { router ->
                limits[router].run {
                    if (this.perSecond == null) recordAnnounced(perSecond, now)
                    now.takeIf(::admits)?.also(::recordSent)
                }
            }
        }
    }

    private fun mostInWindow(times: List<Long>): Int =
        times.maxOfOrNull { from -> times.count { it in from until from + WINDOW_SECONDS * second } } ?: 0

    private fun bound(perSecond: Double): Int = (1.5 * WINDOW_SECONDS * perSecond + 5).toInt()

    @Nested
    inner class `an endpoint that states a limit` {
        @Test
        fun `gets no more from all routers together, whenever each of them hears of it`(): Unit =
            runBlocking {
                checkAll(200, Arb.int(1..40), Arb.int(1..200), Arb.int(0..3_000)) { routers, tenths, spread ->
                    val perSecond = tenths / 10.0
                    val heardAt = List(routers) { it * spread / routers * millisecond }
                    val times = sendTimes(perSecond, heardAt, until = 20 * second)
                    expectThat(mostInWindow(times)).isLessThanOrEqualTo(bound(perSecond))
                }
            }

        @Test
        fun `is used by routers that have requests for it`() {
            val times = sendTimes(3.2, List(5) { 0L }, until = 20 * second)
            expectThat(times.size).isGreaterThan(20 * 3)
        }

        @Test
        fun `is asked at times although it takes nothing`() {
            expectThat(sendTimes(0.0, listOf(0L), until = 30 * second).size).isEqualTo(3)
        }
    }

    @Nested
    inner class `a limit` {
        @Test
        fun `changes with what the endpoint states`() {
            val limit = limit()
            val changes =
                listOf(null, 4.0, 4.01, 2.0, null).mapIndexed { index, stated ->
                    limit.record(stated, sentAt = index * second, now = index * second)
                }
            expectThat(changes).isEqualTo(listOf(false, true, false, true, true))
            expectThat(limit.perSecond).isEqualTo(null)
        }

        @Test
        fun `does not end with the response to a request that was sent before it was stated`() {
            val limit = limit()
            limit.record(4.0, sentAt = 0, now = second)
            expectThat(limit.record(null, sentAt = second - 1, now = 2 * second)).isFalse()
            expectThat(limit.perSecond).isEqualTo(4.0)
        }

        @Test
        fun `admits any request when the endpoint has started anew`() {
            val limit = limit()
            limit.recordAnnounced(0.5, now = 0)
            limit.recordSent(now = 0)
            expectThat(limit.admits(now = second)).isFalse()
            limit.clear()
            expectThat(limit.admits(now = second)).isTrue()
        }
    }

    private companion object {
        /** The users count requests over this time, and allow one and a half times the limit and five more. */
        const val WINDOW_SECONDS = 4
    }
}
