package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against LOST: a request was taken from a silent endpoint although no other one took it. */
class SilentEndpointTest {
    private val streamPath = "${WireSamples.STREAM_PATH}a"
    private val sends = AtomicInteger()
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
    }

    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: e$it\n\n" }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun ScriptedEndpoint.ReceivedRequest.begin(headers: List<Pair<String, String>> = emptyList()): Unit =
        write(head("200 OK", WireSamples.answerHeaders(id, CONFIDENCE) + headers + CHUNKED))

    private fun ScriptedEndpoint.ReceivedRequest.pauseAfterThird(millis: Long) {
        begin()
        write(chunk(events(1..3)))
        TimeUnit.MILLISECONDS.sleep(millis)
        write(chunk(events(4..6)) + LAST_CHUNK)
    }

    private fun ScriptedEndpoint.ReceivedRequest.goOnAfterThird() {
        begin()
        write(chunk(events(4..6)) + LAST_CHUNK)
    }

    /** An endpoint that answers the first of the test's requests by [first], and all others by [others]. */
    private fun endpoint(
        first: (ScriptedEndpoint.ReceivedRequest) -> Unit,
        others: (ScriptedEndpoint.ReceivedRequest) -> Unit = first,
    ) = ScriptedEndpoint {
        when {
            !it.id.startsWith("r-") -> it.respond("")
            sends.getAndIncrement() == 0 -> first(it)
            else -> others(it)
        }
    }

    private fun start(
        vararg endpoints: ScriptedEndpoint,
        leaving: ScriptedEndpoint? = null,
    ): GatewayFixture {
        val entries = listOfNotNull(leaving?.let { WireSamples.endpointEntry("leaving", it.address, isLeaving = true) })
        return GatewayFixture(endpoints.toList(), otherEntries = entries).also { fixture = it }
    }

    /** The ids of the events that a caller gets, and how its stream ends. */
    private fun GatewayFixture.stream(id: String): CompletableFuture<String> =
        CompletableFuture<String>().also { stream ->
            thread {
                val response = call(streamPath, id)
                val ids = Regex("id: (\\d)").findAll(response).map { it.groupValues[1] }
                stream.complete(ids.joinToString("") + if (response.endsWith(LAST_CHUNK)) "" else " (cut)")
            }
        }

    @Nested
    inner class `an endpoint that pauses while the other one drains` {
        private val leaving = endpoint({ it.goOnAfterThird() })

        @Test
        fun `goes on with all its streams, each sent once`() {
            val fixture = start(endpoint({ it.pauseAfterThird(PAUSE_MILLIS) }), leaving = leaving)
            val streams = List(STREAMS) { fixture.stream("r-$it") }.map { it.get(WAIT_SECONDS, TimeUnit.SECONDS) }

            expectThat(streams).all { isEqualTo(WHOLE) }
            expectThat(sends.get()).isEqualTo(STREAMS)
        }

        @Test
        fun `still gets new requests after the pause`() {
            val fixture = start(endpoint({ it.pauseAfterThird(PAUSE_MILLIS) }), leaving = leaving)
            List(STREAMS) { fixture.stream("r-$it") }.forEach { it.get(WAIT_SECONDS, TimeUnit.SECONDS) }

            expectThat(fixture.call("${WireSamples.UNARY_PATH}a", "later")).startsWith("HTTP/1.1 200 ")
        }
    }

    @Test
    fun `the answer of a plain service's only endpoint is waited for`() {
        val slow: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            TimeUnit.MILLISECONDS.sleep(SLOW_ANSWER_MILLIS)
            it.respond("slow")
        }
        val fixture = start(endpoint(slow))

        expectThat(fixture.call("${WireSamples.UNARY_PATH}a", "r-1")).endsWith("slow")
        expectThat(sends.get()).isEqualTo(1)
    }

    @Test
    fun `a stream goes on at another endpoint that takes requests`() {
        val silent: (ScriptedEndpoint.ReceivedRequest) -> Unit = { it.pauseAfterThird(LONG_PAUSE_MILLIS) }
        val endpoints = List(2) { endpoint(silent, others = { request -> request.goOnAfterThird() }) }
        val stream = start(*endpoints.toTypedArray()).stream("r-1").get(WAIT_SECONDS, TimeUnit.SECONDS)

        expectThat(stream).isEqualTo(WHOLE)
        expectThat(endpoints.flatMap { it.requestHeads }).hasSize(2)
    }

    /** The limit that the endpoint states is used up by another request when the stream breaks off. */
    @Test
    fun `a stream that broke off waits until an endpoint takes requests again`() {
        val limit = listOf(WireSamples.limit(LIMIT_PER_SECOND))
        val breaking: (ScriptedEndpoint.ReceivedRequest) -> Unit = {
            it.begin(limit)
            it.write(chunk(events(1..3)))
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)
            it.socket.close()
        }
        val others: (ScriptedEndpoint.ReceivedRequest) -> Unit = { request ->
            if (WireSamples.lastEventId(request.head) == "3") {
                request.goOnAfterThird()
            } else {
                request.respond("", headers = WireSamples.answerHeaders(request.id) + limit)
            }
        }
        val fixture = start(endpoint(breaking, others))
        val stream = fixture.stream("r-1")
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS / 2)
        fixture.call("${WireSamples.UNARY_PATH}a", "r-2")

        expectThat(stream.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(WHOLE)
    }

    private companion object {
        const val STREAMS = 8
        const val WHOLE = "123456"
        const val CONFIDENCE = 90
        val CHUNKED = "Transfer-Encoding" to "chunked"
        const val LAST_CHUNK = "0\r\n\r\n"

        /** Longer than a silence after which a stream goes on elsewhere. */
        const val PAUSE_MILLIS = 700L
        const val LONG_PAUSE_MILLIS = 2_500L

        /** Longer than a plain service may be silent that has another endpoint. */
        const val SLOW_ANSWER_MILLIS = 1_500L
        const val LIMIT_PER_SECOND = 1.0
        const val WAIT_SECONDS = 10L
    }
}
