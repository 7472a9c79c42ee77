package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.call.DeferredRequest
import dev.almondhaven.traffic.CallerLimits
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** What a caller reads on one kept connection: the answer to each of its requests, in their order, and no other bytes. */
class CallerResponseOrderTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val writers = CopyOnWriteArrayList<ResponseWriter>()
    private var serve: (CallerRequest, ResponseWriter) -> Unit = { request, writer -> writer.answer(request.path) }
    private var checks = 0
    private val handler =
        RequestHandler { request, writer ->
            writers += writer
            if (request.path == DEFERRED_PATH) {
                DeferredRequest(
                    loop,
                    { ++checks == CHECKS_BEFORE_READY },
                    writer::abort,
                ) { IDLE.also { serve(request, writer) } }
            } else {
                IDLE.also { serve(request, writer) }
            }
        }
    private val server = CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, handler)
    private val port = (server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port
    private val caller = Socket("127.0.0.1", port)

    @AfterEach
    fun end() {
        caller.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun ResponseWriter.answer(text: String): Unit = respond(OK, emptyList(), text.toByteArray())

    private fun send(
        method: String,
        path: String,
        header: String = "",
    ): Unit = caller.getOutputStream().write("$method $path HTTP/1.1\r\nHost: a\r\n$header\r\n".toByteArray())

    /** All that the caller is sent until the router is quiet, which it is at the earliest after [end]. */
    private fun read(end: String): String {
        val received = StringBuilder()
        while (!received.endsWith(end) && received.appendNext(PATIENCE_MILLIS)) continue
        while (received.appendNext(QUIET_MILLIS)) continue
        return "$received"
    }

    /** Appends the next character; false if none comes within [timeoutMillis]. */
    private fun StringBuilder.appendNext(timeoutMillis: Int): Boolean {
        caller.soTimeout = timeoutMillis
        val next =
            try {
                caller.getInputStream().read()
            } catch (_: SocketTimeoutException) {
                return false
            }
        if (next >= 0) append(next.toChar())
        return next >= 0
    }

    private fun response(
        path: String,
        body: String = path,
    ): String = "HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n$body"

    private fun onLoop(action: () -> Unit): Unit = loop.submit(action).get().let {}

    @Nested
    inner class `a writer whose response has ended` {
        @Test
        fun `writes nothing into the response to the next request`() {
            send("GET", "/first")
            expectThat(read(end = "/first")).isEqualTo(response("/first"))
            serve = { _, _ -> }
            send("GET", "/second")
            while (writers.size < 2) TimeUnit.MILLISECONDS.sleep(1)
            onLoop {
                writers[0].answer("late")
                writers[0].beginResponse(OK, emptyList())
                writers[0].write("late".toByteArray())
                writers[0].complete()
                writers[0].abort()
                writers[1].answer("/second")
            }

            expectThat(read(end = "/second")).isEqualTo(response("/second"))
        }

        @Test
        fun `writes nothing into the response to a pipelined request`() {
            serve = { request, writer ->
                writer.answer(request.path)
                writer.answer("again")
            }
            repeat(3) { send("GET", "/$it") }

            expectThat(read(end = "/2")).isEqualTo((0..2).joinToString("") { response("/$it") })
        }
    }

    @Nested
    inner class `a deferred request` {
        @Test
        fun `is answered before the request behind it`() {
            send("GET", DEFERRED_PATH)
            send("GET", "/behind")

            expectThat(read(end = "/behind")).isEqualTo(response(DEFERRED_PATH) + response("/behind"))
        }
    }

    @Nested
    inner class `the response to a HEAD request` {
        @Test
        fun `has no body in front of the next response`() {
            send("HEAD", "/head")
            send("GET", "/next")

            expectThat(read(end = "/next")).isEqualTo(response("/head", body = "") + response("/next"))
        }

        @Test
        fun `has no body in front of the next response if it is a stream`() {
            serve = { request, writer ->
                if (request.method == "HEAD") {
                    writer.beginResponse(OK, emptyList())
                    writer.complete()
                } else {
                    writer.answer(request.path)
                }
            }
            send("HEAD", "/head")
            send("GET", "/next")

            expectThat(read(end = "/next").substringAfter("\r\n\r\n")).isEqualTo(response("/next"))
        }
    }

    @Nested
    inner class `a pipelined request that expects 100-continue` {
        @Test
        fun `does not disturb the stream before it`() {
            serve = { request, writer ->
                if (request.path == "/stream") writer.beginResponse(OK, emptyList()) else writer.answer(request.path)
            }
            send("GET", "/stream")
            expectThat(read(end = "\r\n\r\n")).startsWith("HTTP/1.1 200")
            send("POST", "/behind", "Content-Length: 0\r\nExpect: 100-continue\r\n")
            expectThat(read(end = "")).isEqualTo("")
            onLoop {
                writers[0].write("part".toByteArray())
                writers[0].complete()
            }

            expectThat(read(end = "/behind")).isEqualTo("4\r\npart\r\n0\r\n\r\n" + response("/behind"))
        }
    }

    private companion object {
        const val OK = 200

        const val CHECKS_BEFORE_READY = 3
        const val PATIENCE_MILLIS = 5_000
        const val QUIET_MILLIS = 200
        const val DEFERRED_PATH = "/deferred"
        val IDLE =
            object : InFlightRequest {
                override fun onCallerDisconnected() = Unit

                override fun onCallerWritable() = Unit
            }
    }
}
