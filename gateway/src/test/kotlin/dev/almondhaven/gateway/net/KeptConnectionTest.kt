package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.ScriptedEndpoint
import io.netty.buffer.ByteBuf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class KeptConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val endpoint =
        ScriptedEndpoint { it.respond(body = "of ${it.head.first()}", headers = emptyList()) }
    private val pool = ConnectionPool(loop, endpoint.address)

    @AfterEach
    fun end() {
        endpoint.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** Sends a request and returns the body of its answer; [onContent] is called with each part of it. */
    private fun ask(
        path: String,
        onContent: (OutboundCall) -> Unit = {},
    ): String {
        val answer = CompletableFuture<String>()
        loop.execute {
            lateinit var call: OutboundCall
            val listener =
                object : OutboundListener {
                    private val body = StringBuilder()

                    override fun onHead(
                        status: Int,
                        headers: HttpHeaders,
                    ): HeadAction = HeadAction.TAKE

                    override fun onContent(bytes: ByteBuf) {
                        body.append(bytes.toString(Charsets.UTF_8))
                        onContent(call)
                    }

                    override fun onEnd() {
                        answer.complete("$body")
                    }

                    override fun onFailure(
                        sent: Boolean,
                        reason: String,
                    ) {
                        answer.complete("failed: $reason")
                    }
                }
            call = pool.send(OutboundRequest("GET", path, emptyList(), ByteArray(0)), listener)
        }
        return answer.completeOnTimeout("nothing was read", PATIENCE_SECONDS, TimeUnit.SECONDS).get()
    }

    @Nested
    inner class `a connection whose last answer ended while reading was paused for a slow caller` {
        @Test
        fun `reads the answer to its next request`() {
            ask("/paused") { it.setAutoRead(enabled = false) }

            expectThat(ask("/next")).isEqualTo("of GET /next HTTP/1.1")
        }
    }

    private companion object {
        const val PATIENCE_SECONDS = 2L
    }
}
