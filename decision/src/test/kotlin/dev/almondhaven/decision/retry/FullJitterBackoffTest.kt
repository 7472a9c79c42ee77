package dev.almondhaven.decision.retry

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FullJitterBackoffTest {
    private val backoff = FullJitterBackoff(base = 10.milliseconds, cap = 250.milliseconds)

    @Nested
    inner class `a delay` {
        @Test
        fun `lies between zero and a bound that doubles up to the cap`() {
            runBlocking {
                checkAll(
                    PropTestConfig(seed = 4_091, iterations = 500),
                    Arb.int(1..1_000),
                    Arb.long(),
                ) { attempt, seed ->
                    val bound = if (attempt > 5) 250.milliseconds else 10.milliseconds * (1 shl (attempt - 1))
                    val delay = backoff.delay(attempt, RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
                    expectThat(delay in Duration.ZERO..bound).isTrue()
                }
            }
        }
    }
}
