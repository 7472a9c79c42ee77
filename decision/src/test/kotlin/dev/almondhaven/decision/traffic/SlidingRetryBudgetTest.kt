package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.retry.RetryBudget
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SlidingRetryBudgetTest {
    private fun at(millis: Int): Long = millis.milliseconds.inWholeNanoseconds

    @Nested
    inner class `a window` {
        private val budget = SlidingRetryBudget(10.seconds, ratio = 0.5, slack = 2.0)

        @Test
        fun `grants the slack before any request and a ratio of the requests afterwards`() {
            val before = List(3) { budget.trySpend(at(0)) }
            repeat(4) { budget.recordRequest(at(100)) }
            val after = List(3) { budget.trySpend(at(200)) }

            expectThat(before + after).isEqualTo(listOf(true, true, false, true, true, false))
        }

        @Test
        fun `limits a purpose to its share and leaves the rest for others`() {
            repeat(16) { budget.recordRequest(at(0)) }
            val escalations = List(9) { budget.trySpend(at(100), share = 0.8) }
            val retriesOfFailures = List(3) { budget.trySpend(at(100)) }

            expectThat(escalations.count { it } to retriesOfFailures).isEqualTo(8 to listOf(true, true, false))
        }

        @Test
        fun `forgets retries that are older than the window`() {
            repeat(2) { budget.trySpend(at(0)) }

            expectThat(listOf(9_400, 10_000).map { budget.available(at(it)) }).isEqualTo(listOf(0.0, 2.0))
        }
    }

    @Nested
    inner class `over any sequence of requests and retries` {
        @Test
        fun `retries never exceed the ratio of the requests in the last window plus the slack`() {
            val events = Arb.list(Arb.pair(Arb.int(0..400), Arb.boolean()), 1..200)
            runBlocking {
                checkAll(500, events) { steps ->
                    val budget = SlidingRetryBudget(10.seconds, ratio = 0.7, slack = 3.0)
                    val requests = ArrayList<Int>()
                    val retries = ArrayList<Int>()
                    var now = 0
                    steps.forEach { (pause, isRequest) ->
                        now += pause
                        if (isRequest) {
                            budget.recordRequest(at(now))
                            requests += now
                        } else if (budget.trySpend(at(now))) {
                            retries += now
                            val spent = retries.count { it > now - 9_500 }
                            expectThat(
                                spent.toDouble(),
                            ).isLessThanOrEqualTo(0.7 * requests.count { it > now - 10_000 } + 3)
                        }
                    }
                }
            }
        }
    }

    @Nested
    inner class `a burst of requests that need a larger model` {
        /** Load of one of 35 routers: 8 requests per second, then 12 at once that all need a second model. */
        private fun retriesGranted(spend: (Long) -> Boolean): Int = (1..12).count { spend(at(10_000)) }

        @Test
        fun `is served from the budget earned before it, where a small token bucket runs empty`() {
            val window = SlidingRetryBudget(10.seconds, ratio = 0.81, slack = 5.0)
            val bucket = RetryBudget(earnedPerSuccess = 0.81, capacity = 5)
            (0 until 10_000 step 125).forEach {
                window.recordRequest(at(it))
                bucket.recordSuccess()
            }

            expectThat(
                listOf(
                    retriesGranted { window.trySpend(it, share = 0.8) },
                    retriesGranted {
                        bucket.available >= 3 &&
                            bucket.trySpend()
                    },
                ),
            ).isEqualTo(listOf(12, 3))
        }
    }
}
