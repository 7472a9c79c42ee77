package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.InFlightRequest
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

class DeferredRequestTest {
    private val channel = EmbeddedChannel()
    private val events = ArrayList<String>()
    private var known = false
    private var now = 0L

    private fun starting() =
        DeferredRequest(channel.eventLoop(), { known }) {
            events += "served at $now"
            object : InFlightRequest {
                override fun onCallerDisconnected() {
                    events += "left at $now"
                }

                override fun onCallerWritable() = Unit
            }
        }

    private fun pass(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            now += STEP_MILLIS
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
    }

    @Nested
    inner class `a request that comes before the configuration is known` {
        @Test
        fun `is served once as soon as it is`() {
            starting()
            pass(150)
            known = true
            pass(200)

            expectThat(events.toList()).isEqualTo(listOf("served at 160"))
        }

        @Test
        fun `is answered after a short while in any case`() {
            starting()
            pass(1_000)

            expectThat(events.toList()).isEqualTo(listOf("served at 300"))
        }

        @Test
        fun `is forgotten when its caller leaves, or ends the work that it has become`() {
            starting().onCallerDisconnected()
            val other = starting()
            known = true
            pass(50)
            other.onCallerDisconnected()

            expectThat(events.toList()).isEqualTo(listOf("served at 10", "left at 50"))
        }
    }

    private companion object {
        const val STEP_MILLIS = 10L
    }
}
