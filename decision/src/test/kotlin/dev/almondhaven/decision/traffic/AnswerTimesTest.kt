package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AnswerTimesTest {
    private val times = AnswerTimes()

    @Nested
    inner class `an answer that takes eight times as long as its work usually does` {
        @Test
        fun `is slow, whatever the size of the work, and only for its own kind`() {
            (1..20).forEach { times.learn("draft", millis = 100.0 + it, expectedMillis = 50.0 + it) }
            val answers =
                listOf("draft" to 800.0, "draft" to 150.0, "query" to 800.0).map { (kind, millis) ->
                    times.isSlow(kind, millis, expectedMillis = 50.0)
                }

            expectThat(answers).isEqualTo(listOf(true, false, false))
            expectThat(times.isSlow("draft", millis = 800.0, expectedMillis = 400.0)).isEqualTo(false)
        }

        @Test
        fun `is not called slow before enough answers of the current version are known`() {
            repeat(7) { times.learn("draft", millis = 100.0, expectedMillis = 50.0) }
            val before = times.isSlow("draft", millis = 900.0, expectedMillis = 50.0)
            times.learn("draft", millis = 100.0, expectedMillis = 50.0)

            expectThat(listOf(before, times.isSlow("draft", 900.0, 50.0))).isEqualTo(listOf(false, true))
        }
    }

    @Nested
    inner class `a service that slows down as a whole` {
        @Test
        fun `is the usual case after a while`() {
            repeat(20) { times.learn("draft", millis = 100.0, expectedMillis = 100.0) }
            repeat(60) { times.learn("draft", millis = 500.0, expectedMillis = 100.0) }

            expectThat(times.isSlow("draft", millis = 600.0, expectedMillis = 100.0)).isEqualTo(false)
        }
    }
}
