package dev.almondhaven.gateway

import io.netty.util.concurrent.DefaultEventExecutor
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against CONFIG: a router whose event loop had ended went on as a process that answers nothing. */
class EventLoopEndTest {
    private val loop = DefaultEventExecutor()
    private val ends = AtomicInteger()
    private val loopEnd = EventLoopEnd(loop) { ends.incrementAndGet() }

    private fun endLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        loopEnd.watcher.join(WAIT_MILLIS)
    }

    @Test
    fun `the end of an event loop that nobody asked for is told`() {
        endLoop()
        expectThat(ends.get()).isEqualTo(1)
    }

    @Test
    fun `the end of an event loop that is closed is not told`() {
        loopEnd.expect()
        endLoop()
        expectThat(ends.get()).isEqualTo(0)
    }

    private companion object {
        const val WAIT_MILLIS = 5_000L
    }
}
