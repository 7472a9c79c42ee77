package dev.almondhaven.decision.traffic

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

class StallPolicyTest {
    /**
     * Streams at engines that read long prompts between the events: one pause in 30 lasts for an exponential time of
     * 250 ms on average, and one stream in 100 stalls for good. A stream that is broken off goes on elsewhere after
     * [ELSEWHERE_MILLIS].
     */
    private class Replay(
        private val timeout: Duration,
    ) {
        var brokenOffInVain = 0
        var late = 0

        fun run(): Replay {
            val random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L)
            repeat(STREAMS) {
                val stallsAt = if (random.nextInt(100) == 0) random.nextInt(EVENTS) else EVENTS
                var isLate = false
                repeat(EVENTS) { event ->
                    val readsPrompt = random.nextInt(30) == 0
                    val drawn = -ln(1 - random.nextDouble()) * 250
                    val pause =
                        if (event == stallsAt) {
                            Double.POSITIVE_INFINITY
                        } else if (readsPrompt) {
                            drawn
                        } else {
                            10.0
                        }
                    val waited = minOf(pause, timeout.toDouble(DurationUnit.MILLISECONDS))
                    val isBrokenOff = pause > waited
                    if (isBrokenOff && pause.isFinite()) brokenOffInVain++
                    if (waited + (if (isBrokenOff) ELSEWHERE_MILLIS else 0.0) > LONGEST_PAUSE_MILLIS) isLate = true
                }
                if (isLate) late++
            }
            return this
        }
    }

    private fun timeout(longestPause: Duration?) = StallPolicy.eventTimeout(longestPause, 0.0, ELSEWHERE_MILLIS)

    @Nested
    inner class `engines that pause while they read long prompts` {
        @Test
        fun `are left several times less often than with a fixed silence, and no more streams are late`() {
            val fixed = Replay(timeout(null)).run()
            val byPause = Replay(timeout(LONGEST_PAUSE_MILLIS.milliseconds)).run()

            expectThat(byPause.brokenOffInVain * 5).isLessThan(fixed.brokenOffInVain)
            expectThat(byPause.late).isLessThanOrEqualTo(fixed.late)
        }
    }

    @Nested
    inner class `the time to the next event` {
        @Test
        fun `leaves enough to go on elsewhere within the pause that the route allows`() {
            expectThat(timeout(1_200.milliseconds)).isEqualTo(800.milliseconds)
        }

        @Test
        fun `is the shortest one where the route states no pause`() {
            expectThat(timeout(null)).isEqualTo(350.milliseconds)
        }

        /** Guards against LOST: streams were taken from the only endpoint that served them. */
        @Test
        fun `is endless where nothing else can serve the request`() {
            listOf(null, 1_200.milliseconds).forEach {
                expectThat(StallPolicy.eventTimeout(it, 0.0, Double.POSITIVE_INFINITY)).isEqualTo(Duration.INFINITE)
            }
        }

        @Test
        fun `is never shorter than before, however long another engine would take`() {
            expectThat(StallPolicy.eventTimeout(1_200.milliseconds, 0.0, 5_000.0)).isEqualTo(350.milliseconds)
            expectThat(StallPolicy.eventTimeout(1_200.milliseconds, 200.0, 5_000.0)).isEqualTo(600.milliseconds)
        }
    }

    @Nested
    inner class `the time to the first event` {
        @Test
        fun `leaves a second engine as much of the objective, and is never shorter than before`() {
            expectThat(StallPolicy.firstEventTimeout(3_000.milliseconds, 0.0, 200.0)).isEqualTo(1_300.milliseconds)
            expectThat(StallPolicy.firstEventTimeout(1_000.milliseconds, 0.0, 200.0)).isEqualTo(700.milliseconds)
            expectThat(StallPolicy.firstEventTimeout((-1).milliseconds, 0.0, 200.0)).isEqualTo(700.milliseconds)
        }

        /** Guards against LOST: streams were taken from the only endpoint that served them. */
        @Test
        fun `is endless where nothing else can serve the request`() {
            expectThat(StallPolicy.firstEventTimeout(3_000.milliseconds, 0.0, Double.POSITIVE_INFINITY))
                .isEqualTo(Duration.INFINITE)
        }

        @Test
        fun `grows with the prefill that is known to wait at the engine`() {
            expectThat(StallPolicy.firstEventTimeout(1_000.milliseconds, 400.0, 200.0))
                .isGreaterThan(StallPolicy.firstEventTimeout(1_000.milliseconds, 0.0, 200.0))
        }
    }

    private companion object {
        const val STREAMS = 2_000
        const val EVENTS = 32
        const val ELSEWHERE_MILLIS = 200.0
        const val LONGEST_PAUSE_MILLIS = 1_200.0
    }
}
