package dev.almondhaven.gateway.duty

import dev.almondhaven.model.NanoClock
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against CONFIG and DRAIN: what a router repeats ended for good at the first failure of a step. */
class DutyTest {
    private val channel = EmbeddedChannel()
    private var millis = 0L
    private val clock = NanoClock { millis * 1_000_000 }
    private val supervisor = DutySupervisor(channel.eventLoop()).also { it.start() }
    private var restarts = 0
    private var failsOnRestart = false
    private val duty =
        Duty("test", channel.eventLoop(), clock) {
            restarts++
            if (failsOnRestart) throw OutOfMemoryError("simulated")
        }.also(supervisor::add)

    private fun advance(span: Long) {
        millis += span
        channel.advanceTimeBy(span, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun fail(): Unit = duty.step { throw OutOfMemoryError("simulated") }

    @Nested
    inner class `a duty` {
        @Test
        fun `begins anew after a pause when a step fails, with an error too`() {
            fail()
            expectThat(restarts to duty.failures).isEqualTo(0 to 1L)
            advance(200)
            expectThat(restarts).isEqualTo(1)
        }

        @Test
        fun `begins anew ever more rarely while it fails each time, and is not sound meanwhile`() {
            failsOnRestart = true
            fail()
            expectThat(supervisor.areDutiesSound).isTrue()
            repeat(300) { advance(100) }
            expectThat(restarts).isEqualTo(19)
            expectThat(supervisor.areDutiesSound).isFalse()

            failsOnRestart = false
            advance(2_000)
            duty.recordSuccess()
            expectThat(supervisor.areDutiesSound).isTrue()
        }

        @Test
        fun `begins anew when an expected step does not come`() {
            duty.expectStepWithin(5.seconds)
            repeat(11) { advance(500) }
            expectThat(restarts).isEqualTo(0)
            advance(500)
            expectThat(restarts to "$supervisor").isEqualTo(1 to "failures={test:1}")
        }

        @Test
        fun `that is paused is left alone`() {
            duty.expectStepWithin(5.seconds)
            duty.pause()
            repeat(20) { advance(500) }
            expectThat(restarts).isEqualTo(0)
        }
    }

    @Nested
    inner class `of several elements` {
        @Test
        fun `one that fails with an error keeps none of the others back`() {
            val done = ArrayList<Int>()
            listOf(1, 2, 3).forEachIsolated("test") {
                if (it == 2) throw OutOfMemoryError("simulated")
                done += it
            }
            expectThat(done.toList()).isEqualTo(listOf(1, 3))
        }
    }

    @Nested
    inner class `a recurring task` {
        private var runs = 0
        private var isNeeded = true
        private val task =
            RecurringTask("task", channel.eventLoop(), 100.milliseconds, { isNeeded }) {
                runs++
                throw OutOfMemoryError("simulated")
            }

        @Test
        fun `goes on although each of its actions fails`() {
            task.resume()
            repeat(10) { advance(100) }
            expectThat(runs to task.failures).isEqualTo(10 to 10L)
        }

        @Test
        fun `rests while it is not needed, and is resumed by the supervisor`() {
            task.resume()
            isNeeded = false
            repeat(3) { advance(100) }
            expectThat(runs).isEqualTo(1)

            isNeeded = true
            supervisor.add(task)
            repeat(6) { advance(100) }
            expectThat(runs).isEqualTo(5)
        }
    }
}
