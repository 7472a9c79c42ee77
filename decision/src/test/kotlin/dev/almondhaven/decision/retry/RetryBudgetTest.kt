package dev.almondhaven.decision.retry

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

class RetryBudgetTest {
    private val random = RandomSource.SPLIT_MIX_64.create(1L)

    @Nested
    inner class `retries of a process` {
        @Test
        fun `never exceed a tenth of its successes and the capacity`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 41), Arb.list(Arb.boolean(), 0..500)) { successes ->
                    val budget = RetryBudget()
                    var retries = 0
                    successes.forEach {
                        if (it) {
                            budget.recordSuccess()
                        } else if (budget.trySpend()) {
                            retries++
                        }
                    }

                    expectThat(retries.toDouble()).isLessThanOrEqualTo(successes.count { it } * 0.1 + 20)
                }
            }
        }

        @Test
        fun `end with the capacity in an outage`() {
            val budget = RetryBudget()

            expectThat((1..10_000).count { budget.trySpend() }).isEqualTo(RetryBudget.DEFAULT_CAPACITY)
        }
    }

    @Nested
    inner class `a call that isn't idempotent` {
        @Test
        fun `moves on only when no byte was written`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 42), Arb.enum<ResultCode>(), Arb.enum<Outcome>()) { code, outcome ->
                    val failed = FailedAttempt(code, outcome, idempotent = false, attempts = 1, 1_000.milliseconds)
                    val decision = RetryPolicy(RetryBudget()).afterFailure(failed, random)

                    if (outcome != Outcome.NOT_RUN) expectThat(decision).isEqualTo(RetryDecision.GiveUp)
                }
            }
        }
    }

    @Nested
    inner class `a retry` {
        @Test
        fun `starts before the deadline`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 43), Arb.int(1..400), Arb.int(1..2)) { left, attempts ->
                    val remaining = left.milliseconds
                    val failed =
                        FailedAttempt(ResultCode.ENDPOINT_FAILED, Outcome.UNKNOWN, true, attempts, remaining)
                    val decision = RetryPolicy(RetryBudget()).afterFailure(failed, random)

                    if (decision is RetryDecision.Retry) expectThat(decision.delay).isLessThan(remaining)
                }
            }
        }
    }
}
