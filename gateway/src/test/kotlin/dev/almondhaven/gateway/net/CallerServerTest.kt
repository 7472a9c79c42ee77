package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.traffic.CallerLimits
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class CallerServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val served = CopyOnWriteArrayList<String>()
    private val handler =
        RequestHandler { request, writer ->
            served += request.path
            writer.respond(RouterResponse.of(200, null, "ok"))
            object : InFlightRequest {
                override fun onCallerDisconnected() = Unit

                override fun onCallerWritable() = Unit
            }
        }
    private val server = CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, handler)
    private val port = (server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port

    @AfterEach
    fun end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun send(path: String) =
        Socket("127.0.0.1", port).apply {
            getOutputStream().write("GET $path HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
        }

    /** Keeps the event loop busy while [action] runs, as the start of the process does. */
    private fun whileLoopIsBusy(action: () -> Unit) {
        val released = CountDownLatch(1)
        group.next().execute { released.await() }
        action()
        released.countDown()
    }

    @Nested
    inner class `a request that waited unread` {
        @Test
        fun `is dropped if its caller has left, and served if not`() {
            val waiting = ArrayList<Socket>()
            whileLoopIsBusy {
                repeat(5) { send("/left").close() }
                waiting += send("/waits")
            }
            val response = waiting.single().use { it.getInputStream().read() }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)

            expectThat(response).isEqualTo('H'.code)
            expectThat(served.toList()).isEqualTo(listOf("/waits"))
        }

        @Test
        fun `is dropped too on a connection that has served a request before`() {
            val socket = send("/first")
            // Unread bytes would make the close a reset, which discards the request.
            while (socket.getInputStream().read() != 'k'.code) continue
            whileLoopIsBusy {
                socket.getOutputStream().write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                socket.close()
            }
            send("/last").use { it.getInputStream().read() }

            expectThat(served.toList()).isEqualTo(listOf("/first", "/last"))
        }
    }

    private companion object {
        /** Several turns of the event loop. */
        const val SETTLE_MILLIS = 50L
    }
}
