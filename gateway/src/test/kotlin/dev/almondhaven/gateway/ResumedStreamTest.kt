package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Breaks a stream after its third event; what the next endpoints answer decides how the caller's stream goes on. */
class ResumedStreamTest {
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
    }

    /** Requests that the endpoints of the last gateway have received. */
    private val streamCount = AtomicInteger()
    private val streamPath = "${WireSamples.STREAM_PATH}a"

    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: e$it\n\n" }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun ScriptedEndpoint.ReceivedRequest.begin(): Unit =
        write(head("200 OK", WireSamples.answerHeaders(id, CONFIDENCE) + CHUNKED))

    private fun ScriptedEndpoint.ReceivedRequest.breakAfter(text: String) {
        begin()
        write(chunk(text))
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)
        socket.close()
    }

    private fun ScriptedEndpoint.ReceivedRequest.goOnAfterThird() {
        begin()
        write(chunk(events(4..6)) + LAST_CHUNK)
    }

    /** Answers with [status], [body] and no statement that the request was not run. */
    private fun answer(
        status: String,
        body: String = ERROR_TEXT,
        headers: List<Pair<String, String>> = emptyList(),
    ): (ScriptedEndpoint.ReceivedRequest) -> Unit =
        { it.respond(body, status, WireSamples.answerHeaders(it.id) + headers) }

    /**
     * A gateway before two endpoints: the first attempt at a stream is answered by [first], and the resumptions by
     * [resumptions] in order; the last of these answers all further ones.
     * Requests with other ids, also those of a gateway whose store had the port before, don't count.
     */
    private fun start(
        vararg resumptions: (ScriptedEndpoint.ReceivedRequest) -> Unit,
        first: (ScriptedEndpoint.ReceivedRequest) -> Unit = { it.breakAfter(events(1..3)) },
        endpointCount: Int = 2,
    ): GatewayFixture {
        val endpoints =
            List(endpointCount) {
                ScriptedEndpoint {
                    if (!it.id.startsWith("r-")) {
                        it.respond("")
                    } else {
                        val earlier = streamCount.getAndIncrement()
                        val last = resumptions.lastIndex
                        if (earlier == 0) first(it) else resumptions[(earlier - 1).coerceAtMost(last)](it)
                    }
                }
            }
        streamCount.set(0)
        return GatewayFixture(endpoints).also { fixture = it }
    }

    /**
     * Sends [text] on one connection, and returns what arrives until it is closed, is open for [OPEN_MILLIS], or is
     * open for [PAUSE_MILLIS] after the end of a stream.
     */
    private fun GatewayFixture.exchange(text: String): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray())
            val received = StringBuilder()
            val block = ByteArray(BLOCK_BYTES)
            try {
                while (true) {
                    socket.soTimeout = if (received.endsWith(LAST_CHUNK)) PAUSE_MILLIS.toInt() else OPEN_MILLIS
                    val length = socket.getInputStream().read(block)
                    if (length < 0) break
                    received.append(String(block, 0, length))
                }
            } catch (_: SocketTimeoutException) {
                received.append(OPEN)
            } catch (_: IOException) {
                // A reset ends a stream as visibly as a close does.
            }
            received.toString()
        }

    /** The stream that a caller gets that keeps its connection: its text, and how it ended. */
    private fun GatewayFixture.stream(id: String = "r-1"): String =
        decode(exchange(request(streamPath, id, keepAlive = true)))

    /** The decoded body of the chunked [response], marked if it is cut; what follows its end is appended. */
    private fun decode(response: String): String {
        val text = StringBuilder()
        var rest = response.substringAfter("\r\n\r\n")
        while (true) {
            val length = rest.substringBefore("\r\n").toIntOrNull(16) ?: return "$text (cut)$rest"
            rest = rest.substringAfter("\r\n")
            if (length == 0) return "$text" + rest.removePrefix("\r\n").removeSuffix(OPEN)
            text.append(rest.take(length))
            rest = rest.drop(length + 2)
        }
    }

    private val cut = "${events(1..3)} (cut)"

    @Nested
    inner class `a stream that broke off and whose resumption is answered with a success that is no stream` {
        private val whole = answer("200 OK", body = "whole")

        @Test
        fun `is resumed at another endpoint`() {
            val fixture = start(whole, { it.goOnAfterThird() })
            expectThat(fixture.stream()).isEqualTo(events(1..6))
        }

        @Test
        fun `ends visibly broken, with its connection, if every endpoint answers so`() {
            expectThat(start(whole).stream()).isEqualTo(cut)
        }

        @Test
        fun `does not get the events of the next request on its connection`() {
            val next: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.begin()
                it.write(chunk("id: 1\ndata: of the next request\n\n") + LAST_CHUNK)
            }
            val fixture = start(whole, whole, next)
            val requests = listOf("r-1", "r-2").joinToString("") { fixture.request(streamPath, it, keepAlive = true) }
            expectThat(decode(fixture.exchange(requests))).isEqualTo(cut)
        }

        @Test
        fun `ends visibly broken if that success has no content`() {
            listOf(listOf("Content-Type" to "text/event-stream"), emptyList()).forEach { type ->
                val fixture = start(answer("204 No Content", body = "", headers = type))
                expectThat(fixture.stream()).isEqualTo(cut)
                fixture.close()
            }
        }

        @Test
        fun `ends visibly broken if that success is encoded events`() {
            val encoded: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                val headers = WireSamples.answerHeaders(it.id, CONFIDENCE) + ("Content-Encoding" to "gzip")
                it.respond(events(4..6), headers = headers)
            }
            expectThat(start(encoded).stream()).isEqualTo(cut)
        }
    }

    @Nested
    inner class `a stream that broke off and whose resumption fails` {
        private val failures =
            listOf(
                answer("500 Internal Server Error"),
                answer("500 Internal Server Error", body = ""),
                answer("500 Internal Server Error", headers = listOf("Content-Type" to "text/event-stream")),
                answer("404 Not Found"),
                answer("400 Bad Request"),
                answer("429 Too Many Requests"),
                answer("503 Service Unavailable"),
                answer("503 Service Unavailable", headers = listOf(WireSamples.notRun())),
                answer("421 Misdirected Request"),
            )

        private val errorThatBreaksOff: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            val length = "Content-Length" to "${ERROR_TEXT.length + 1}"
            it.write(it.head("500 Internal Server Error", WireSamples.answerHeaders(it.id) + length) + ERROR_TEXT)
            it.socket.close()
        }

        private val unsigned: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            val headers = WireSamples.answerHeaders(it.id, CONFIDENCE).filter { (_, value) -> "seal" !in value }
            it.respond(events(4..6), headers = headers)
        }

        private val notHttp: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            it.write("no response\r\n\r\n")
            it.socket.close()
        }

        private val all = failures + errorThatBreaksOff + unsigned + notHttp
        private val onward: (ScriptedEndpoint.ReceivedRequest) -> Unit = { it.goOnAfterThird() }

        /**
         * The streams that a caller gets from one gateway, one for each of [all]: [answerOf] the number of the stream
         * and of its resumption, from 1, is the answer to it.
         */
        private fun streamsWith(answerOf: (Int, Int) -> (ScriptedEndpoint.ReceivedRequest) -> Unit): List<String> {
            val attempts = List(all.size) { AtomicInteger() }
            val endpoint: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                val number = it.id.substringAfter('-').toInt()
                val earlier = attempts[number].getAndIncrement()
                if (earlier == 0) it.breakAfter(events(1..3)) else answerOf(number, earlier)(it)
            }
            val fixture = start(endpoint, first = endpoint, endpointCount = ENDPOINTS_FOR_FAILURES)
            return all.indices.map { fixture.stream("r-$it") }
        }

        @Test
        fun `ends visibly broken, without a byte of the failure`() {
            expectThat(streamsWith { number, _ -> all[number] }).isEqualTo(List(all.size) { cut })
        }

        @Test
        fun `goes on at a third attempt, without a byte of the failure`() {
            val streams = streamsWith { number, resumption -> if (resumption == 1) all[number] else onward }
            expectThat(streams).isEqualTo(List(all.size) { events(1..6) })
        }

        @Test
        fun `takes the requests that its caller has pipelined with it`() {
            val fixture = start(answer("500 Internal Server Error"))
            val requests = listOf("r-1", "r-2").joinToString("") { fixture.request(streamPath, it, keepAlive = true) }
            expectThat(decode(fixture.exchange(requests))).isEqualTo(cut)
        }
    }

    @Nested
    inner class `a stream that broke off and is resumed` {
        private fun respondEvents(
            range: IntRange,
            status: String = "200 OK",
        ): (ScriptedEndpoint.ReceivedRequest) -> Unit =
            { it.respond(events(range), status, WireSamples.answerHeaders(it.id, CONFIDENCE)) }

        private fun closeAfter(text: String): (ScriptedEndpoint.ReceivedRequest) -> Unit =
            {
                it.write(it.head("200 OK", WireSamples.answerHeaders(it.id, CONFIDENCE)) + text)
                it.socket.close()
            }

        @Test
        fun `passes each event on once if the endpoint begins with the first event again`() {
            expectThat(start(respondEvents(1..6)).stream()).isEqualTo(events(1..6))
        }

        @Test
        fun `goes on whatever success the endpoint states`() {
            expectThat(start(respondEvents(4..6, "206 Partial Content")).stream()).isEqualTo(events(1..6))
        }

        @Test
        fun `passes on an event that arrives together with the next break`() {
            val oneMore: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                val head = it.head("200 OK", WireSamples.answerHeaders(it.id, CONFIDENCE) + CHUNKED)
                it.write(head + chunk(events(4..4)))
                it.socket.close()
            }
            expectThat(start(oneMore, respondEvents(5..6)).stream()).isEqualTo(events(1..6))
        }

        @Test
        fun `does not join the beginning of an event with the next endpoint's`() {
            val fixture = start({ it.goOnAfterThird() }, first = { it.breakAfter(events(1..3) + "id: 4\ndata: ") })
            expectThat(fixture.stream()).isEqualTo(events(1..6))
        }

        @Test
        fun `begins anew if no event had arrived`() {
            val fixture = start(respondEvents(1..6), first = { it.breakAfter(": comment\n\n") })
            expectThat(fixture.stream()).isEqualTo(": comment\n\n" + events(1..6))
        }

        @Test
        fun `goes on after a comment, which needs no id`() {
            val fixture = start({ it.goOnAfterThird() }, first = { it.breakAfter(events(1..3) + ": comment\n\n") })
            expectThat(fixture.stream()).isEqualTo(events(1..3) + ": comment\n\n" + events(4..6))
        }

        @Test
        fun `is complete if the endpoint states its end without a further event`() {
            listOf(respondEvents(IntRange.EMPTY), respondEvents(1..3)).forEach { ended ->
                val fixture = start(ended)
                expectThat(fixture.stream()).isEqualTo(events(1..3))
                fixture.close()
            }
        }

        @Test
        fun `does not look complete if the connection alone ends, without an event`() {
            expectThat(start(closeAfter("")).stream()).isEqualTo(cut)
        }

        @Test
        fun `does not look complete if the connection alone ends, after events that the caller had`() {
            expectThat(start(closeAfter(events(1..2))).stream()).isEqualTo(cut)
        }

        @Test
        fun `does not look complete if its length is not reached`() {
            val short: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                val length = "Content-Length" to "${events(4..6).length}"
                it.write(it.head("200 OK", WireSamples.answerHeaders(it.id, CONFIDENCE) + length) + events(4..5))
                it.socket.close()
            }
            expectThat(start(short, { it.socket.close() }).stream()).isEqualTo("${events(1..5)} (cut)")
        }

        @Test
        fun `repeats no event that has no id, and does not look complete`() {
            val unnumbered = "data: a\n\ndata: b\n\n"
            val again: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.begin()
                it.write(chunk(unnumbered) + LAST_CHUNK)
            }
            expectThat(start(again, first = { it.breakAfter(unnumbered) }).stream()).isEqualTo("$unnumbered (cut)")
        }
    }

    @Nested
    inner class `a stream that broke off and may not be resumed` {
        @Test
        fun `ends visibly broken, and reaches no other endpoint`() {
            val fixture = start({ it.goOnAfterThird() })
            val text = fixture.request("${WireSamples.SINGLE_STREAM_PATH}a", "r-1", keepAlive = true)

            expectThat(decode(fixture.exchange(text))).isEqualTo(cut)
            expectThat(streamCount.get()).isEqualTo(1)
        }
    }

    @Nested
    inner class `the head of a stream` {
        @Test
        fun `is all that a HEAD request gets`() {
            val heads =
                listOf(CHUNKED, "Content-Length" to "10", "X-Any" to "any").map { framing ->
                    val headOnly: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                        it.write(it.head("200 OK", WireSamples.answerHeaders(it.id, CONFIDENCE) + framing))
                    }
                    val fixture = start(answer("500 Internal Server Error"), first = headOnly)
                    val text = fixture.request(streamPath, "r-1").replaceFirst("POST", "HEAD")
                    val received = fixture.exchange(text).also { fixture.close() }
                    Triple(received.substringBefore("\r\n"), received.substringAfter("\r\n\r\n"), streamCount.get())
                }
            expectThat(heads).isEqualTo(List(3) { Triple("HTTP/1.1 200 OK", "", 1) })
        }
    }

    @Nested
    inner class `a stream to a caller that reads slowly` {
        private val large = (1..LARGE_EVENTS).joinToString("") { "id: $it\ndata: ${"x".repeat(EVENT_BYTES)}\n\n" }

        private val writeLarge: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            it.begin()
            it.write(chunk(large) + LAST_CHUNK)
        }

        /** Reads all of a large stream after [delayMillis], with a pause of [pauseMillis] after each block. */
        private fun GatewayFixture.readSlowly(
            delayMillis: Long,
            pauseMillis: Long,
        ): String =
            Socket().use { socket ->
                socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
                socket.soTimeout = OPEN_MILLIS
                socket.connect(InetSocketAddress("127.0.0.1", callerPort))
                socket.getOutputStream().write(request(streamPath, "r-1").toByteArray())
                TimeUnit.MILLISECONDS.sleep(delayMillis)
                val received = ByteArrayOutputStream()
                while (true) {
                    val block = socket.getInputStream().readNBytes(BLOCK_BYTES)
                    if (block.isEmpty()) break
                    received.writeBytes(block)
                    TimeUnit.MILLISECONDS.sleep(pauseMillis)
                }
                decode(received.toString())
            }

        @Test
        fun `is not sent to another endpoint because the caller pauses`() {
            val fixture = start(writeLarge, first = writeLarge)

            expectThat(fixture.readSlowly(delayMillis = LONG_PAUSE_MILLIS, pauseMillis = 0) == large).isEqualTo(true)
            expectThat(streamCount.get()).isEqualTo(1)
        }

        @Test
        fun `leaves a connection on which the next request is answered`() {
            val fixture = start({ it.respond("next") }, first = writeLarge, endpointCount = 1)

            expectThat(fixture.readSlowly(delayMillis = 0, pauseMillis = BLOCK_MILLIS) == large).isEqualTo(true)
            expectThat(fixture.call("${WireSamples.NON_IDEMPOTENT_PATH}a", "r-2").substringAfter("\r\n\r\n"))
                .isEqualTo("next")
        }
    }

    private companion object {
        const val CONFIDENCE = 90
        val CHUNKED = "Transfer-Encoding" to "chunked"

        /** So many that some take requests although others have failed. */
        const val ENDPOINTS_FOR_FAILURES = 6
        const val LAST_CHUNK = "0\r\n\r\n"
        const val ERROR_TEXT = "text of an error\n"

        /** Long enough that the router has passed on what came before. */
        const val PAUSE_MILLIS = 50L

        /** Longer than the router takes for all attempts, and than its route allows for a stream. */
        const val OPEN_MILLIS = 4_000
        const val OPEN = "(open)"

        /** A stream of some 7 MB, which the buffers of the sockets don't hold. */
        const val LARGE_EVENTS = 8
        const val EVENT_BYTES = 900_000
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val BLOCK_BYTES = 65_536
        const val BLOCK_MILLIS = 5L

        /** Longer than an endpoint may be silent in the middle of a stream. */
        const val LONG_PAUSE_MILLIS = 1_200L
    }
}
