package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.EndpointListing
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import java.util.PriorityQueue
import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.sin
import kotlin.time.Duration

class EndpointSpeedTest {
    private val typical = TypicalPace()

    private fun speed(vararg paces: Double) = EndpointSpeed(typical).apply { paces.forEach { record("m", it) } }

    private fun knowTypicalPace(millis: Double = 30.0): Unit = repeat(20) { typical.record("m", millis) }

    @Nested
    inner class `an endpoint` {
        @Test
        fun `is taken for a usual one until a stream of it is known, and while it differs little`() {
            knowTypicalPace()
            expectThat(listOf(speed(), speed(33.0), speed(27.0)).map { it.slowness }).isEqualTo(listOf(1.0, 1.0, 1.0))
        }

        @Test
        fun `on slow hardware is known by one stream, and one that turns slow by a few`() {
            knowTypicalPace()
            expectThat(speed(65.0).slowness).isIn(2.1..2.2)
            expectThat(speed(30.0, 30.0, 60.0, 60.0, 60.0).slowness).isGreaterThan(1.7)
        }

        @Test
        fun `is not judged by a model that is slower for all, nor by figures that can't be`() {
            knowTypicalPace()
            repeat(20) { typical.record("large", 300.0) }
            val speed = EndpointSpeed(typical)
            speed.record("large", 300.0)
            listOf(0.0, -5.0, Double.NaN, 1e12).forEach { speed.record("m", it) }
            expectThat(speed.slowness).isEqualTo(1.0)
            speed.record("m", 9_000.0)
            expectThat(speed.slowness).isLessThanOrEqualTo(8.0)
        }

        @Test
        fun `is judged by what is usual now, also if it was known before`() {
            val speed = speed(60.0)
            repeat(10) { typical.record("m", 60.0) }
            repeat(40) { typical.record("m", 30.0) }
            expectThat(speed.slowness).isEqualTo(2.0)
        }

        @Test
        fun `is forgotten when another process takes its place`() {
            knowTypicalPace()
            expectThat(speed(65.0).apply { clear() }.slowness).isEqualTo(1.0)
        }
    }

    @Nested
    inner class `the pace of a stream` {
        @Test
        fun `leaves out the pauses in which the engine reads other prompts`() {
            val pace = StreamPace()
            repeat(12) { pace.record(if (it % 4 == 0) 400.0 else 30.0, events = 1) }
            expectThat(pace.medianMillis).isEqualTo(30.0)
        }

        @Test
        fun `is not known from a few events, and counts events that arrive together`() {
            val pace = StreamPace()
            repeat(5) { pace.record(60.0, events = 2) }
            expectThat(pace.medianMillis).isNull()
            pace.record(60.0, events = 2)
            expectThat(pace.medianMillis).isEqualTo(30.0)
        }
    }

    private enum class Knowledge { NONE, LEARNED, ALL }

    private class Outcome(
        val p99Millis: Double,
        val inTimeShare: Double,
    )

    /**
     * Engines of which one in four has a speed of 0.55 and the rest of 1.2, each of which reads one prompt after the other.
     * Prompts arrive in waves of ±55 % over 15 s, at 0.9 of the engines' capacity in the crest.
     */
    private inner class Replay(
        private val knowledge: Knowledge,
    ) {
        private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L)
        private val speeds = List(ENGINES) { if (it % 4 == 0) 0.55 else 1.2 }
        private val pace = TypicalPace()
        private val engines = speeds.indices.map { engine(it) }
        private val freeAt = DoubleArray(ENGINES)
        private val placement = EndpointPlacement(FailureDomainId("here"))
        private val ends = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
        private val waits = ArrayList<Double>()

        private fun engine(index: Int): EndpointView {
            val listing =
                EndpointListing(
                    EndpointId("e-$index"),
                    ServiceId("s"),
                    "10.0.0.1:80",
                    FailureDomainId("here"),
                    "v1",
                    slots = 16,
                    leaving = false,
                    coldLeft = Duration.ZERO,
                    startedAtMillis = 1,
                )
            val view = EndpointView(listing, EjectionGroup(0.9), 1_000, PrefillSpeed(), START_NANOS, pace)
            if (knowledge == Knowledge.ALL) {
                repeat(20) { pace.record("m", STEP_MILLIS / 1.2) }
                view.speed.record("m", STEP_MILLIS / speeds[index])
            }
            return view
        }

        private fun nanos(millis: Double) = START_NANOS + WARM_UP_NANOS + (millis * 1e6).toLong()

        fun run(): Outcome {
            var now = 0.0
            val meanRate = speeds.sum() * 0.9 / MEAN_WORK_MILLIS / 1.55
            while (now < 60_000) {
                val rate = meanRate * (1 + 0.55 * sin(2 * PI * now / 15_000))
                now += -ln(1 - random.nextDouble()) / rate
                while (ends.isNotEmpty() && ends.peek().first <= now) ends.poll().second()
                place(now)
            }
            waits.sort()
            return Outcome(waits[waits.size * 99 / 100], waits.count { it <= OBJECTIVE_MILLIS }.toDouble() / waits.size)
        }

        private fun place(now: Double) {
            val tokens = (MEAN_TOKENS * -ln(1 - random.nextDouble())).toInt().coerceIn(50, 40_000)
            val request = PlacementRequest("m", tokens, emptyList(), affinity = null)
            val chosen = placement.choose(engines, request, nanos(now))!!
            val index = engines.indexOf(chosen)
            val estimate = chosen.prefillMillis("m", tokens)
            chosen.recordStart(estimate, nanos(now))
            val end = maxOf(now, freeAt[index]) + tokens * MILLIS_PER_TOKEN / speeds[index]
            freeAt[index] = end
            waits += end - now
            ends +=
                end to {
                    chosen.recordPrefillEnd(estimate)
                    chosen.recordEnd(nanos(end))
                    val noise = 0.95 + 0.1 * random.nextDouble()
                    if (knowledge == Knowledge.LEARNED) {
                        chosen.recordPace("m", STEP_MILLIS / speeds[index] * noise, nanos(end))
                    }
                }
        }
    }

    @Nested
    inner class `a mix of speeds under waves` {
        private val blind = Replay(Knowledge.NONE).run()
        private val learned = Replay(Knowledge.LEARNED).run()
        private val informed = Replay(Knowledge.ALL).run()

        @Test
        fun `is served about as well as if all speeds were known`() {
            expectThat(learned.p99Millis).isLessThanOrEqualTo(informed.p99Millis * 1.1)
            expectThat(learned.inTimeShare).isGreaterThan(informed.inTimeShare * 0.9)
        }

        @Test
        fun `is served better than by taking all engines for alike`() {
            expectThat(learned.p99Millis).isLessThan(blind.p99Millis)
            expectThat(learned.inTimeShare).isGreaterThan(blind.inTimeShare)
        }
    }

    private companion object {
        const val ENGINES = 16
        const val STEP_MILLIS = 30.0
        const val MILLIS_PER_TOKEN = 0.06
        const val MEAN_TOKENS = 4_000.0
        const val MEAN_WORK_MILLIS = MEAN_TOKENS * MILLIS_PER_TOKEN
        const val OBJECTIVE_MILLIS = 1_500.0
        const val START_NANOS = 1_000_000_000L
        const val WARM_UP_NANOS = 5_000_000_000L
    }
}
