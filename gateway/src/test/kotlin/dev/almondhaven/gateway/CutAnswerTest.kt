package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Guards against MIXED: an endpoint answered a long upload early, without a length, and ended the connection while the
 * upload was still being written; the caller got the part that had arrived as a complete answer.
 */
class CutAnswerTest {
    /** An endpoint that answers each request once it has its head, whatever it has read of the body. */
    private class EarlyEndpoint(
        private val isStream: Boolean,
        private val delayMillis: Long,
        private val end: (Socket) -> Unit,
    ) : AutoCloseable {
        private val server =
            ServerSocket().apply {
                bind(null, BACKLOG)
            }
        val address: String get() = "${InetAddress.getLoopbackAddress().hostAddress}:${server.localPort}"

        /** Ids of the requests that were answered. */
        val answered = CopyOnWriteArrayList<String>()

        init {
            thread(isDaemon = true) {
                try {
                    while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
                } catch (_: IOException) {
                    // The endpoint was closed.
                }
            }
        }

        private fun serve(socket: Socket) {
            try {
                val head = generateSequence { line(socket) }.takeWhile { it.isNotEmpty() }.toList()
                // The router has only looked whether the endpoint is there.
                if (head.isEmpty()) return socket.close()
                TimeUnit.MILLISECONDS.sleep(delayMillis)
                val id = WireSamples.requestId(head)
                val fields = WireSamples.answerHeaders(id, confidence = if (isStream) 90 else null)
                val lines = fields.joinToString("") { (name, value) -> "$name: $value\r\n" }
                val answer = "HTTP/1.1 200 OK\r\n$lines\r\nid: 1\ndata: part\n\n"
                answered += id
                socket.getOutputStream().write(answer.toByteArray())
                end(socket)
            } catch (_: IOException) {
                // The router has closed the connection.
            }
        }

        private fun line(socket: Socket): String =
            generateSequence { socket.getInputStream().read().takeIf { it >= 0 && it != '\n'.code } }
                .joinToString("") { "${it.toChar()}" }
                .trimEnd('\r')

        override fun close(): Unit = server.close()
    }

    private var endpoint: EarlyEndpoint? = null
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
        endpoint?.close()
    }

    /** The responses to [count] requests with a body of [bodyBytes], whose connections the endpoint ends by [end]. */
    private fun call(
        path: String,
        bodyBytes: Int,
        count: Int = 1,
        isStream: Boolean = false,
        delayMillis: Long = 0,
        end: (Socket) -> Unit,
    ): List<String> {
        val early = EarlyEndpoint(isStream, delayMillis, end).also { endpoint = it }
        val addresses = listOf(early.address)
        val started =
            GatewayFixture(
                emptyList(),
                allowsRetries = false,
                otherAddresses = addresses,
                bodyLimit = LONG_UPLOAD_BYTES,
            )
        fixture = started
        early.answered.clear()
        return (1..count).map { started.call(path, "r-$it", "b".repeat(bodyBytes)) }
    }

    private fun isSuccess(response: String) = response.startsWith("HTTP/1.1 200") && response.endsWith("part\n\n")

    @Nested
    inner class `an answer that ends before its request has been written` {
        @Test
        fun `is not complete if the endpoint ends it in good order`() {
            val responses =
                call("${WireSamples.NON_IDEMPOTENT_PATH}a", LONG_UPLOAD_BYTES) { socket ->
                    socket.shutdownOutput()
                    // Keeps the connection from being closed and reset.
                    TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS)
                }

            expectThat(responses.map { it.substringBefore("\r\n") }).isEqualTo(listOf("HTTP/1.1 502 Bad Gateway"))
            expectThat(endpoint?.answered?.toList()).isEqualTo(listOf("r-1"))
        }

        @Test
        fun `is not complete if the endpoint closes the connection`() {
            val path = "${WireSamples.NON_IDEMPOTENT_PATH}a"
            val responses = call(path, UPLOAD_BYTES, CALLS) { it.close() }

            expectThat(responses.count(::isSuccess)).isEqualTo(0)
        }

        @Test
        fun `is not complete if all of the request is on its way when the endpoint closes the connection`() {
            val path = "${WireSamples.NON_IDEMPOTENT_PATH}a"
            val responses = call(path, SHORT_UPLOAD_BYTES, FEW_CALLS, delayMillis = WRITE_MILLIS) { it.close() }

            expectThat(responses.count(::isSuccess)).isEqualTo(0)
        }

        @Test
        fun `is not complete as a stream`() {
            val responses =
                call("${WireSamples.SINGLE_STREAM_PATH}a", LONG_UPLOAD_BYTES, isStream = true) { socket ->
                    socket.shutdownOutput()
                    TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS)
                }

            expectThat(responses.map { it.endsWith("0\r\n\r\n") }).isEqualTo(listOf(false))
        }
    }

    @Nested
    inner class `an answer that ends after its request has been written` {
        @Test
        fun `is complete`() {
            val responses = call("${WireSamples.NON_IDEMPOTENT_PATH}a", bodyBytes = 6) { it.shutdownOutput() }

            expectThat(responses.map(::isSuccess)).isEqualTo(listOf(true))
        }
    }

    private companion object {
        const val BACKLOG = 16

        /** More than the buffers of a connection hold. */
        const val LONG_UPLOAD_BYTES = 33_554_432

        /** About as much as they hold: whether it has been written when the answer ends is up to the kernel. */
        const val UPLOAD_BYTES = 4_000_000
        const val CALLS = 120

        /** So much that the buffers of a connection hold it, and the time in which it is written to them. */
        const val SHORT_UPLOAD_BYTES = 500_000
        const val WRITE_MILLIS = 50L
        const val FEW_CALLS = 10
        const val WAIT_MILLIS = 2_000L
    }
}
