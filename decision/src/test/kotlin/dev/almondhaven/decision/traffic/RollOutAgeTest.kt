package dev.almondhaven.decision.traffic

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RollOutAgeTest {
    private val schedule = RollOutSchedule(timeLimit = 20.seconds)

    private fun at(seconds: Int): Long = (1_000 + seconds).seconds.inWholeNanoseconds

    private fun age(stored: Duration = Duration.ZERO) = RollOutAge(schedule, heardAt = at(0), stored)

    @Nested
    inner class `the age of a roll-out` {
        @Test
        fun `is the time since the order was heard of, until more is known`() {
            val age = age()
            val before = age.elapsed(at(3))
            val gains = listOf(age.recordAtLeast(8.seconds, at(4)), age.recordAtLeast(7.seconds, at(4)))

            expectThat(listOf(before, age.elapsed(at(5)), age.position(at(5))))
                .isEqualTo(listOf(3.seconds, 9.seconds, 9.seconds))
            expectThat(gains).isEqualTo(listOf(4.seconds, Duration.ZERO))
        }

        /** Guards against a roll-out that goes back when an older statement arrives. */
        @Test
        fun `never decreases and never exceeds the true one, whatever is stated in which order`(): Unit =
            runBlocking {
                checkAll(PropTestConfig(seed = 44, iterations = 500), Arb.list(Arb.int(0..20_000), 1..20)) { ages ->
                    val age = age()
                    val heardAfter = 6.seconds
                    ages.forEachIndexed { step, stated ->
                        val now = at(step)
                        val before = age.elapsed(now)
                        val trueAge = heardAfter + step.seconds
                        age.confirm(minOf(stated.milliseconds, trueAge), now)
                        check(age.elapsed(now) in before..trueAge) { "${age.elapsed(now)} at $step of $ages" }
                    }
                }
            }

        @Test
        fun `must not be stored as a negative one`() {
            expectThrows<IllegalArgumentException> { age(stored = (-1).seconds) }
                .get { message }
                .isEqualTo("stored must not be negative, got -1s")
        }
    }

    @Nested
    inner class `while only a stored age is known` {
        @Test
        fun `sessions that may have moved since do not go back`() {
            val positions = listOf(5, 10, 11, 13, 14).map { age(stored = it.seconds).position(at(0)) }

            expectThat(positions).isEqualTo(listOf(5.0, 10.0, 13.2, 13.2, 14.0).map { it.seconds })
        }

        @Test
        fun `other routers are not told more than is certain`() {
            expectThat(age(stored = 11.seconds).elapsed(at(1))).isEqualTo(12.seconds)
        }

        @Test
        fun `the answer of a router that followed the roll-out replaces it`() {
            val age = age(stored = 11.seconds)
            age.confirm(12.seconds, at(0))

            expectThat(age.position(at(0))).isEqualTo(12.seconds)
        }

        @Test
        fun `the position becomes the age if no router has followed the roll-out`() {
            val age = age(stored = 11.seconds)
            age.assumePosition(at(1))

            expectThat(age.elapsed(at(2))).isEqualTo(14.2.seconds)
        }
    }
}
