package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RollOutScheduleTest {
    private val schedule = RollOutSchedule(timeLimit = 20.seconds)

    @Nested
    inner class `a roll-out of 20 seconds` {
        /** Guards against a session that moves because some routers hear of the order before others. */
        @Test
        fun `begins with no canary until all routers have heard of the order`() {
            val shares = listOf(0, 499, 500).map { schedule.share(it.milliseconds) }
            val sharesOfShort = listOf(199, 200).map { RollOutSchedule(4.seconds).share(it.milliseconds) }

            expectThat(shares + sharesOfShort).isEqualTo(listOf(0.0, 0.0, 0.08, 0.0, 0.08))
        }

        @Test
        fun `keeps the canary share constant and small for the rest of the first half`() {
            expectThat((1..20).map { schedule.share((it * 500).milliseconds) }.distinct()).isEqualTo(listOf(0.08))
        }

        @Test
        fun `moves no session in the first half`() {
            expectThat((0..10).map { schedule.allowsSessionMoves(it.seconds) }).all { isEqualTo(false) }
        }

        @Test
        fun `never decreases the share of the new version`() {
            val shares = (0..200).map { schedule.share((it / 10.0).seconds) }
            expectThat(shares.zipWithNext()).all { get { first }.isLessThanOrEqualTo(subject.second) }
        }

        @Test
        fun `moves all sessions to the new version seconds before the time limit`() {
            expectThat(schedule.share(14.seconds)).isEqualTo(1.0)
            expectThat(listOf(17, 18).map { schedule.isComplete(it.seconds) }).isEqualTo(listOf(false, true))
        }

        @Test
        fun `has milestones at the quarter and where the share begins and ends to grow`() {
            val milestones = listOf(0.0, 4.9, 5.0, 10.3, 10.4, 13.1, 13.2, 20.0).map { schedule.milestone(it.seconds) }

            expectThat(milestones).isEqualTo(listOf(0.0, 0.0, 5.0, 5.0, 10.4, 10.4, 13.2, 13.2).map { it.seconds })
        }
    }
}
