package dev.almondhaven.gateway

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.traffic.CallerLimits
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit

class EarlyListenerTest {
    private val okHandler =
        RequestHandler { _, writer ->
            writer.respond(RouterResponse.of(200, null, "ok"))
            object : InFlightRequest {
                override fun onCallerDisconnected() = Unit

                override fun onCallerWritable() = Unit
            }
        }

    @Nested
    inner class `callers that come back while a router starts` {
        @Test
        fun `wait in the accept queue and are served once it has started`() {
            val listener = EarlyListener.open("127.0.0.1:0")!!
            val port = (listener.localAddress as InetSocketAddress).port
            val callers =
                List(20) {
                    Socket("127.0.0.1", port).apply {
                        getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".toByteArray())
                    }
                }
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, okHandler).serve(listener)
            val responses = callers.map { caller -> caller.use { String(it.getInputStream().readAllBytes()) } }
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)

            expectThat(responses.map { it.substringBefore("\r\n") }).isEqualTo(List(20) { "HTTP/1.1 200 OK" })
        }
    }

    @Nested
    inner class `an address that can't be used` {
        @Test
        fun `opens no port`() {
            val used = EarlyListener.open("127.0.0.1:0")!!
            val inUse = "${used.localAddress}".substringAfter('/')
            val opened = listOf(null, "", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000", inUse).map(EarlyListener::open)
            used.close()

            expectThat(opened).isEqualTo(List(6) { null })
        }
    }
}
