package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Sends requests through a complete gateway to endpoints with scripted responses. */
class GatewayPathTest {
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
    }

    private fun start(
        vararg scripts: (ScriptedEndpoint.ReceivedRequest) -> Unit,
        allowsRetries: Boolean = true,
    ): Pair<GatewayFixture, List<ScriptedEndpoint>> {
        val endpoints =
            scripts.map { script ->
                ScriptedEndpoint {
                    if (it.id ==
                        "ready"
                    ) {
                        it.respond("")
                    } else {
                        script(it)
                    }
                }
            }
        return GatewayFixture(endpoints, allowsRetries).also { fixture = it } to endpoints
    }

    private val unaryPath = "${WireSamples.UNARY_PATH}a"
    private val nonRetryablePath = "${WireSamples.NON_IDEMPOTENT_PATH}a"
    private val streamPath = "${WireSamples.STREAM_PATH}a"

    private fun status(response: String) = response.substringBefore("\r\n")

    private fun bodyOf(response: String) = response.substringAfter("\r\n\r\n")

    private fun List<ScriptedEndpoint>.requestCount() = sumOf { it.requestHeads.size }

    @Nested
    inner class `a unary response` {
        @Test
        fun `is returned unchanged with its signature`() {
            val (fixture, endpoints) = start({ it.respond("slate ${it.body}") })
            val response = fixture.call(unaryPath, "r-1", body = "grey")

            expectThat(status(response)).isEqualTo("HTTP/1.1 200 OK")
            expectThat(bodyOf(response)).isEqualTo("slate grey")
            expectThat(response.lowercase()).contains("seal-r-1")
            expectThat(endpoints.requestCount()).isEqualTo(1)
        }

        @Test
        fun `without a signature is not passed on`() {
            val (fixture, _) =
                start({
                    it.respond(
                        "forged",
                        headers =
                            WireSamples.answerHeaders(it.id).filter { (_, value) ->
                                "seal" !in
                                    value
                            },
                    )
                })
            expectThat(status(fixture.call(nonRetryablePath, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        @Test
        fun `that has no length and ends with a connection reset is not complete`() {
            val (fixture, _) =
                start({
                    it.write(it.head("200 OK", WireSamples.answerHeaders(it.id)) + "half of")
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.reset()
                })
            expectThat(status(fixture.call(nonRetryablePath, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        @Test
        fun `to another request is discarded`() {
            val (fixture, _) =
                start({
                    it.respond("late", headers = WireSamples.answerHeaders("r-0"))
                    it.respond("own")
                })
            expectThat(bodyOf(fixture.call(unaryPath, "r-1"))).isEqualTo("own")
        }

        @Test
        fun `followed by an unsolicited second response does not affect the next request`() {
            val (fixture, _) =
                start({
                    it.respond("first")
                    it.respond("second")
                })
            expectThat((1..5).map { bodyOf(fixture.call(unaryPath, "r-$it")) }).isEqualTo(List(5) { "first" })
        }
    }

    @Nested
    inner class `a request that can't be retried` {
        @Test
        fun `is sent once if its connection closes without a response, and is not reported as not executed`() {
            val (fixture, endpoints) = start({ it.socket.close() }, { it.socket.close() })
            expectThat(status(fixture.call(nonRetryablePath, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
            expectThat(endpoints.requestCount()).isEqualTo(1)
        }

        @Test
        fun `opens no further connection to a plain service that closed one`() {
            val (fixture, endpoints) = start({ it.socket.close() })
            val before = endpoints.single().connectionCount
            fixture.call(nonRetryablePath, "r-1", headers = WireSamples.callHeaders("r-1", prompt = ""))
            fixture.call(nonRetryablePath, "r-2", headers = WireSamples.callHeaders("r-2", prompt = ""))
            TimeUnit.MILLISECONDS.sleep(PROBE_MILLIS)
            expectThat(endpoints.single().connectionCount - before).isLessThanOrEqualTo(2)
        }

        @Test
        fun `goes to another endpoint if the first one states that it has not executed it`() {
            val reject: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.respond("", "503 Service Unavailable", WireSamples.refusalHeaders(it.id))
            }
            val tried = CountDownLatch(1)
            val (fixture, _) =
                start({ if (tried.count > 0) tried.countDown().also { _ -> reject(it) } else it.respond("booked") }, {
                    if (tried.count > 0) tried.countDown().also { _ -> reject(it) } else it.respond("booked")
                })
            expectThat(bodyOf(fixture.call(nonRetryablePath, "r-1"))).isEqualTo("booked")
        }

        @Test
        fun `is reported as not executed if every endpoint states so`() {
            val (fixture, _) = start({ it.respond("", "503 Service Unavailable", WireSamples.refusalHeaders(it.id)) })
            val response = fixture.call(nonRetryablePath, "r-1")
            expectThat(status(response)).isEqualTo("HTTP/1.1 503 Service Unavailable")
            expectThat(response.lowercase()).contains("retry-after:")
        }

        @Test
        fun `is not sent again and again to an endpoint that says it is another one`() {
            val reached = AtomicInteger()
            val misdirect: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                reached.incrementAndGet()
                it.respond("", "421 Misdirected Request", WireSamples.answerHeaders(it.id))
            }
            val (fixture, _) = start(misdirect, misdirect, { it.respond("booked") })
            val responses = (1..10).map { fixture.call(nonRetryablePath, "r-$it") }

            expectThat(responses.map(::bodyOf)).isEqualTo(List(10) { "booked" })
            expectThat(reached.get()).isLessThanOrEqualTo(MAX_MISDIRECTED)
        }

        @Test
        fun `is not reported as not executed for an endpoint's 503 that does not state so`() {
            val (fixture, _) = start({ it.respond("busy", "503 Service Unavailable") })
            expectThat(status(fixture.call(nonRetryablePath, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }
    }

    @Nested
    inner class `a request that can be retried` {
        @Test
        fun `runs at another endpoint if the first one fails`() {
            val failed = CountDownLatch(1)
            val script: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                if (failed.count > 0) failed.countDown().also { _ -> it.socket.close() } else it.respond("found")
            }
            val (fixture, endpoints) = start(script, script)
            expectThat(bodyOf(fixture.call(unaryPath, "r-1"))).isEqualTo("found")
            expectThat(endpoints.map { it.requestHeads.size }).isEqualTo(listOf(1, 1))
        }

        @Test
        fun `gets the last endpoint's error response with its signature when all attempts fail`() {
            val (fixture, endpoints) =
                start({
                    it.respond("broken", "500 Internal Server Error")
                }, { it.respond("broken", "500 Internal Server Error") })
            val response = fixture.call(unaryPath, "r-1")
            expectThat(status(response)).isEqualTo("HTTP/1.1 500 Internal Server Error")
            expectThat(bodyOf(response)).isEqualTo("broken")
            expectThat(endpoints.requestCount()).isEqualTo(2)
        }
    }

    @Nested
    inner class `a stream` {
        private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: e$it\n\n" }

        private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

        private fun ScriptedEndpoint.ReceivedRequest.begin(confidence: Int = 90): Unit =
            write(head("200 OK", WireSamples.answerHeaders(id, confidence) + ("Transfer-Encoding" to "chunked")))

        /** Decodes the chunked body of a response; marks a body without a last chunk. */
        private fun decodeChunks(response: String): String {
            var rest = bodyOf(response)
            val text = StringBuilder()
            while (true) {
                val length = rest.substringBefore("\r\n").toIntOrNull(16) ?: return "$text (cut)"
                if (length == 0) return text.toString()
                rest = rest.substringAfter("\r\n")
                text.append(rest.take(length))
                rest = rest.drop(length + 2)
            }
        }

        @Test
        fun `that breaks in the middle of an event resumes at another endpoint, with each event once`() {
            val script: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.begin()
                if (WireSamples.lastEventId(it.head).isEmpty()) {
                    it.write(chunk(events(1..3) + "id: 4\nda"))
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.socket.close()
                } else {
                    it.write(chunk(events(3..6)) + "0\r\n\r\n")
                }
            }
            val (fixture, endpoints) = start(script, script)
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..6))
            expectThat(
                endpoints.flatMap { it.requestHeads }.map(WireSamples::lastEventId).toSet(),
            ).isEqualTo(setOf("", "3"))
        }

        @Test
        fun `that stalls is waited for if the retry budget allows no retry`() {
            val script: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.begin()
                it.write(chunk(events(1..2)))
                TimeUnit.MILLISECONDS.sleep(1_500)
                it.write(chunk(events(3..4)) + "0\r\n\r\n")
            }
            val (fixture, endpoints) = start(script, script, allowsRetries = false)

            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..4))
            expectThat(endpoints.requestCount()).isEqualTo(1)
        }

        @Test
        fun `that can't be resumed does not look complete`() {
            val (fixture, _) =
                start({
                    it.begin()
                    it.write(chunk(events(1..2)))
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.socket.close()
                })
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).contains("(cut)")
        }

        @Test
        fun `of low confidence is replaced by a larger model's before the caller has received any of it`() {
            val (fixture, endpoints) =
                start({
                    val small = WireSamples.model(it.head) == "m0"
                    it.begin(confidence = if (small) 10 else 95)
                    it.write(chunk(if (small) "id: 1\ndata: poor\n\n" else events(1..2)) + "0\r\n\r\n")
                })
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..2))
            expectThat(endpoints.flatMap { it.requestHeads }.map(WireSamples::model)).isEqualTo(listOf("m0", "m1"))
        }

        /** Guards against TWICE: streams that may not be resumed were sent to a larger model after a first run. */
        @Test
        fun `that may run only once runs once, on the largest model in time, whatever its confidence`() {
            val (fixture, endpoints) =
                start({
                    it.begin(confidence = 10)
                    it.write(chunk(events(1..2)) + "0\r\n\r\n")
                })
            expectThat(decodeChunks(fixture.call("${WireSamples.SINGLE_STREAM_PATH}a", "r-1"))).isEqualTo(events(1..2))
            expectThat(endpoints.flatMap { it.requestHeads }.map(WireSamples::model)).isEqualTo(listOf("m1"))
        }

        @Test
        fun `of low confidence that no larger model replaces is not reported as not executed`() {
            val (fixture, _) =
                start({
                    if (WireSamples.model(it.head) == "m0") {
                        it.begin(confidence = 10)
                    } else {
                        it.respond("", "503 Service Unavailable", WireSamples.refusalHeaders(it.id))
                    }
                })
            expectThat(status(fixture.call(streamPath, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        private fun ScriptedEndpoint.ReceivedRequest.beginWithoutLength(): Unit =
            write(head("200 OK", WireSamples.answerHeaders(id, confidence = 90)))

        @Test
        fun `without a length is complete when its connection ends after an event`() {
            val (fixture, _) =
                start({
                    it.beginWithoutLength()
                    it.write(events(1..3))
                    it.socket.close()
                })
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..3))
        }

        @Test
        fun `without a length is resumed when its connection ends in the middle of an event`() {
            val script: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.beginWithoutLength()
                val isResumed = WireSamples.lastEventId(it.head).isNotEmpty()
                it.write(if (isResumed) events(3..4) else events(1..2) + "id: 3\nda")
                it.socket.close()
            }
            val (fixture, _) = start(script, script)
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..4))
        }

        @Test
        fun `without a length is not complete when its connection ends before the first event`() {
            val broken = CountDownLatch(1)
            val script: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
                it.beginWithoutLength()
                if (broken.count == 0L) it.write(events(1..2))
                broken.countDown()
                it.socket.close()
            }
            val (fixture, _) = start(script, script)
            expectThat(decodeChunks(fixture.call(streamPath, "r-1"))).isEqualTo(events(1..2))
        }

        @Test
        fun `is cancelled at the endpoint when the caller disconnects`() {
            val ended = CountDownLatch(1)
            val (fixture, _) =
                start({
                    it.begin()
                    it.write(chunk(events(1..1)))
                    if (it.socket.getInputStream().read() < 0) ended.countDown()
                })
            fixture.connect().use { socket ->
                socket.getOutputStream().write(fixture.request(streamPath, "r-1").toByteArray())
                expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
            }
            expectThat(ended.await(10, TimeUnit.SECONDS)).isEqualTo(true)
        }
    }

    @Nested
    inner class `an endpoint that sends without end` {
        /** Writes [piece] until the router closes the connection, which it must do within [MAX_ENDLESS_BYTES]. */
        private fun ScriptedEndpoint.ReceivedRequest.writeEndlessly(piece: String) {
            val block = piece.repeat(BLOCK_BYTES / piece.length + 1)
            try {
                repeat(MAX_ENDLESS_BYTES / BLOCK_BYTES) { write(block) }
                endedByRouter.set(false)
            } catch (_: IOException) {
                endedByRouter.set(true)
            } finally {
                ended.countDown()
            }
        }

        private val ended = CountDownLatch(1)
        private val endedByRouter = AtomicBoolean()

        /** Returns the response to a request, and whether the router closed the connection of the endpoint. */
        private fun callWith(
            path: String,
            script: (ScriptedEndpoint.ReceivedRequest) -> Unit,
        ): Pair<String, Boolean> {
            val (fixture, _) = start(script)
            val response = status(fixture.call(path, "r-1"))
            expectThat(ended.await(10, TimeUnit.SECONDS)).isEqualTo(true)
            return response to endedByRouter.get()
        }

        private val badGateway = "HTTP/1.1 502 Bad Gateway" to true

        @Test
        fun `blank lines before a head is cut off, and the request is not called unexecuted`() {
            expectThat(callWith(nonRetryablePath) { it.writeEndlessly("\r\n") }).isEqualTo(badGateway)
        }

        @Test
        fun `interim responses is cut off`() {
            expectThat(callWith(nonRetryablePath) { it.writeEndlessly("HTTP/1.1 103 Early Hints\r\n\r\n") })
                .isEqualTo(badGateway)
        }

        @Test
        fun `a response to another request is cut off`() {
            val result =
                callWith(nonRetryablePath) {
                    it.write(it.head("200 OK", WireSamples.answerHeaders("r-0") + ("Content-Length" to "2000000000")))
                    it.writeEndlessly("late")
                }
            expectThat(result).isEqualTo(badGateway)
        }

        @Test
        fun `a body is cut off`() {
            val result =
                callWith(nonRetryablePath) {
                    it.write(it.head("200 OK", WireSamples.answerHeaders(it.id)))
                    it.writeEndlessly("body")
                }
            expectThat(result).isEqualTo(badGateway)
        }

        @Test
        fun `the body of a response that states that it has not run the request is cut off, and that is passed on`() {
            val result =
                callWith(nonRetryablePath) {
                    it.write(it.head("503 Service Unavailable", WireSamples.refusalHeaders(it.id)))
                    it.writeEndlessly("busy")
                }
            expectThat(result).isEqualTo("HTTP/1.1 503 Service Unavailable" to true)
        }

        @Test
        fun `an event is cut off, and the stream does not look complete`() {
            val (fixture, _) =
                start({
                    it.write(it.head("200 OK", WireSamples.answerHeaders(it.id, confidence = 90)))
                    it.write("id: 1\ndata: a\n\n")
                    it.writeEndlessly("data: x\n")
                })
            val response = fixture.call(streamPath, "r-1")

            expectThat(ended.await(10, TimeUnit.SECONDS)).isEqualTo(true)
            expectThat(endedByRouter.get()).isEqualTo(true)
            expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
        }
    }

    /** Guards against a router that runs out of memory: unfinished events of many streams were held beside the limit. */
    @Nested
    inner class `an unfinished event` {
        /** Whether the router ends a stream whose event has reached [bytes], while responses may hold [LIMIT_BYTES]. */
        private fun isCutOff(bytes: Int): Boolean {
            val ended = CountDownLatch(1)
            val endpoint =
                ScriptedEndpoint {
                    if (it.id == "ready") return@ScriptedEndpoint it.respond("")
                    it.write(it.head("200 OK", WireSamples.answerHeaders(it.id, confidence = 90)) + "data: ")
                    it.write("x".repeat(bytes))
                    if (it.socket.getInputStream().read() < 0) ended.countDown()
                }
            val started = GatewayFixture(listOf(endpoint), allowsRetries = false, heldBytes = LIMIT_BYTES)
            fixture = started
            started.connect().use { socket ->
                socket.getOutputStream().write(started.request(streamPath, "r-1").toByteArray())
                return ended.await(CUT_MILLIS, TimeUnit.MILLISECONDS)
            }
        }

        @Test
        fun `counts among the bytes that the router may hold of all responses`() {
            expectThat(isCutOff(bytes = 300_000)).isEqualTo(true)
        }

        @Test
        fun `of usual size is held even if that is used up`() {
            expectThat(isCutOff(bytes = 15_000)).isEqualTo(false)
        }
    }

    @Nested
    inner class `a rejected request` {
        @Test
        fun `with an unknown key, an unknown route or no id gets 401, 404 or 400 and reaches no endpoint`() {
            val (fixture, endpoints) = start({ it.respond("") })
            val responses =
                listOf(
                    fixture.call(unaryPath, "r-1", headers = WireSamples.callHeaders("r-1", key = "other")),
                    fixture.call("/elsewhere/", "r-2"),
                    fixture.call(unaryPath, "r-3", headers = emptyList()),
                )
            expectThat(responses.map(::status))
                .isEqualTo(listOf("HTTP/1.1 401 Unauthorized", "HTTP/1.1 404 Not Found", "HTTP/1.1 400 Bad Request"))
            expectThat(endpoints.requestCount()).isEqualTo(0)
        }

        @Test
        fun `with two lengths gets 400 and smuggles nothing in`() {
            val (fixture, endpoints) = start({ it.respond("") })
            val smuggled = fixture.request(unaryPath, "r-2")
            val text =
                fixture
                    .request(unaryPath, "r-1", body = smuggled, keepAlive = true)
                    .replace("Host:", "Transfer-Encoding: chunked\r\nHost:")
            expectThat(fixture.sendRaw(text)).startsWith("HTTP/1.1 400 ")
            expectThat(endpoints.requestCount()).isEqualTo(0)
        }

        @Test
        fun `above the size limits gets 413 or 431`() {
            val (fixture, _) = start({ it.respond("") })
            expectThat(fixture.call(unaryPath, "r-1", body = "x".repeat(100_001))).startsWith("HTTP/1.1 413 ")
            val long = WireSamples.callHeaders("r-1") + ("X-Long" to "x".repeat(20_000))
            expectThat(fixture.call(unaryPath, "r-1", headers = long)).startsWith("HTTP/1.1 431 ")
        }
    }

    private companion object {
        const val BLOCK_BYTES = 65_536

        /** Longer than an engine is probed after its connection has broken. */
        const val PROBE_MILLIS = 100L

        /** A first request and a probe for each of two endpoints. */
        const val MAX_MISDIRECTED = 4

        const val LIMIT_BYTES = 1L

        /** Shorter than the route's timeout. */
        const val CUT_MILLIS = 1_000L

        /** 64 MiB, more than the router may hold of all responses together. */
        const val MAX_ENDLESS_BYTES = 67_108_864
    }
}
