package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class RollOutScheduleTest {
    private val plan = RollOutSchedule(timeLimit = 20.seconds)

    @Nested
    inner class `a move of 20 seconds` {
        @Test
        fun `tries the new version with the same small part of the sessions for the first half`() {
            expectThat((0..10).map { plan.share(it.seconds) }.distinct()).isEqualTo(listOf(0.08))
        }

        @Test
        fun `moves no session in the first half`() {
            expectThat((0..10).map { plan.allowsSessionMoves(it.seconds) }).all { isEqualTo(false) }
        }

        @Test
        fun `never takes sessions back`() {
            val shares = (0..200).map { plan.share((it / 10.0).seconds) }
            expectThat(shares.zipWithNext()).all { get { first }.isLessThanOrEqualTo(subject.second) }
        }

        @Test
        fun `gives all sessions to the new version seconds before it ends`() {
            expectThat(plan.share(14.seconds)).isEqualTo(1.0)
            expectThat(listOf(17, 18).map { plan.isComplete(it.seconds) }).isEqualTo(listOf(false, true))
        }
    }
}
