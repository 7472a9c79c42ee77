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
    private var isReady = false
    private var isFailing = false
    private var now = 0L

    private fun deferredRequest() =
        DeferredRequest(channel.eventLoop(), { isReady }, { events += "aborted at $now" }) {
            if (isFailing) throw OutOfMemoryError("simulated")
            events += "served at $now"
            object : InFlightRequest {
                override fun onCallerDisconnected() {
                    events += "left at $now"
                }

                override fun onCallerWritable() = Unit
            }
        }

    private fun advance(millis: Long) {
        repeat((millis / STEP_MILLIS).toInt()) {
            now += STEP_MILLIS
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
    }

    @Nested
    inner class `a request that arrives before the configuration is loaded` {
        @Test
        fun `is served once as soon as the configuration is loaded`() {
            deferredRequest()
            advance(150)
            isReady = true
            advance(200)

            expectThat(events.toList()).isEqualTo(listOf("served at 160"))
        }

        @Test
        fun `is served after 300 ms in any case`() {
            deferredRequest()
            advance(1_000)

            expectThat(events.toList()).isEqualTo(listOf("served at 300"))
        }

        @Test
        fun `is dropped when its caller disconnects, or passes the disconnect on once it is served`() {
            deferredRequest().onCallerDisconnected()
            val other = deferredRequest()
            isReady = true
            advance(50)
            other.onCallerDisconnected()

            expectThat(events.toList()).isEqualTo(listOf("served at 10", "left at 50"))
        }
    }

    /** Guards against CONFIG: what failed on a timer left its request without an answer. */
    @Test
    fun `the connection of a request whose service fails is closed`() {
        isFailing = true
        deferredRequest()
        isReady = true
        advance(1_000)

        expectThat(events.toList()).isEqualTo(listOf("aborted at 10"))
    }

    private companion object {
        const val STEP_MILLIS = 10L
    }
}
