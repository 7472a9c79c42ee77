package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Guards against MIXED and ORDER: an endpoint that closes its connection at any byte of its response, and a caller that
 * gets a success which looks whole.
 */
class TruncatedResponseTest {
    private var fixture: GatewayFixture? = null
    private val reached = AtomicInteger()

    @AfterEach
    fun end() {
        fixture?.close()
    }

    /** Responses to requests for [path] that look whole, by the number of bytes that the endpoint wrote of [response]. */
    private fun wholeResponses(
        path: String,
        response: (ScriptedEndpoint.ReceivedRequest) -> String,
    ): Map<Int, String> {
        val endpoint =
            ScriptedEndpoint {
                if (it.id == "ready") {
                    it.respond("")
                } else {
                    reached.incrementAndGet()
                    val text = response(it)
                    val written = it.id.substringAfter("r-").toInt()
                    it.write(text.take(written))
                    if (written < text.length || endsWithConnection(text)) it.socket.close()
                }
            }
        val started = GatewayFixture(listOf(endpoint), allowsRetries = false).also { fixture = it }
        return (0..MOST_BYTES).associateWith { started.call(path, "r-$it") }.filterValues(::looksWhole)
    }

    private fun endsWithConnection(response: String) = "Content-Length" !in response && "chunked" !in response

    private fun looksWhole(response: String): Boolean {
        val head = response.substringBefore("\r\n\r\n")
        val body = response.substringAfter("\r\n\r\n", "")
        val length =
            LENGTH
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        val hasEnd = if (length == null) body.endsWith("0\r\n\r\n") else body.length == length
        return head.startsWith("HTTP/1.1 2") && hasEnd
    }

    private fun ScriptedEndpoint.ReceivedRequest.withLength() =
        head("200 OK", WireSamples.answerHeaders(id) + ("Content-Length" to "6")) + "booked"

    private fun ScriptedEndpoint.ReceivedRequest.inChunks(confidence: Int?) =
        head("200 OK", WireSamples.answerHeaders(id, confidence) + ("Transfer-Encoding" to "chunked")) +
            "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n"

    private fun ScriptedEndpoint.ReceivedRequest.untilClose() = head("200 OK", WireSamples.answerHeaders(id))

    private fun expectWholeOnly(
        responses: Map<Int, String>,
        bytes: Int,
    ) {
        expectThat(responses.keys.filter { it < bytes }).isEmpty()
        expectThat(responses.keys.size).isEqualTo(MOST_BYTES + 1 - bytes)
        expectThat(reached.get()).isGreaterThan(MOST_BYTES / 2)
    }

    /** Length of the response to a request whose id has three digits. */
    private fun lengthOf(response: ScriptedEndpoint.ReceivedRequest.() -> String): Int {
        val head = WireSamples.callHeaders("r-100").map { (name, value) -> "$name: $value" }
        return ScriptedEndpoint.ReceivedRequest(head, "", Socket()).response().length
    }

    @Nested
    inner class `a response that ends early` {
        @Test
        fun `with a length never looks whole`() {
            val responses = wholeResponses("${WireSamples.NON_IDEMPOTENT_PATH}a") { it.withLength() }
            expectWholeOnly(responses, lengthOf { withLength() })
        }

        @Test
        fun `in chunks never looks whole`() {
            val responses = wholeResponses("${WireSamples.NON_IDEMPOTENT_PATH}a") { it.inChunks(confidence = null) }
            expectWholeOnly(responses, lengthOf { inChunks(confidence = null) })
        }

        @Test
        fun `as a stream in chunks never looks whole`() {
            val responses = wholeResponses("${WireSamples.SINGLE_STREAM_PATH}a") { it.inChunks(confidence = 90) }
            expectWholeOnly(responses, lengthOf { inChunks(confidence = 90) })
        }
    }

    @Nested
    inner class `a response that ends with its connection` {
        @Test
        fun `looks whole only if its head is`() {
            val responses = wholeResponses("${WireSamples.NON_IDEMPOTENT_PATH}a") { it.untilClose() }
            expectWholeOnly(responses, lengthOf { untilClose() })
        }
    }

    private companion object {
        /** More than the longest of the responses has. */
        const val MOST_BYTES = 330
        val LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
    }
}
