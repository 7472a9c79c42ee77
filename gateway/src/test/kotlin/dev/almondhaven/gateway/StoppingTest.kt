package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against LOST: requests that a stopping router had passed on were cut without an answer at the end of its grace. */
class StoppingTest {
    private val reached = CopyOnWriteArrayList<String>()
    private val arrived = CountDownLatch(1)

    /** Answers nothing but the requests of the fixture, and begins streams. */
    private val endpoint =
        ScriptedEndpoint {
            if (it.id.startsWith("r-")) {
                reached += it.id
                if (it.head.first().contains("stream")) it.beginStream()
                arrived.countDown()
            } else {
                it.respond("")
            }
        }
    private val fixture = GatewayFixture(listOf(endpoint), allowsRetries = false)

    @AfterEach
    fun end() {
        fixture.close()
    }

    private fun ScriptedEndpoint.ReceivedRequest.beginStream() {
        write(head("200 OK", WireSamples.answerHeaders(id, confidence = 90) + ("Transfer-Encoding" to "chunked")))
        write("10\r\nid: 1\ndata: e1\n\n\r\n")
        TimeUnit.MILLISECONDS.sleep(EVENT_MILLIS)
    }

    private fun status(response: String) = response.substringBefore("\r\n")

    private fun callInBackground(path: String): CompletableFuture<String> =
        CompletableFuture.supplyAsync { fixture.call(path, "r-1") }.also {
            check(arrived.await(PATIENCE_SECONDS, TimeUnit.SECONDS)) { "the request has not reached the endpoint" }
        }

    private fun stopInBackground(): CompletableFuture<Void> = CompletableFuture.runAsync { fixture.stop() }

    @Nested
    inner class `a request in work at the end of the grace period` {
        @Test
        fun `is answered, but not as not executed, if its endpoint is silent`() {
            val response = callInBackground("${WireSamples.NON_IDEMPOTENT_PATH}a")
            fixture.stop()
            fixture.close()

            expectThat(status(response.get(PATIENCE_SECONDS, TimeUnit.SECONDS))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        @Test
        fun `is visibly broken off if it is a stream that has begun`() {
            val response = callInBackground("${WireSamples.STREAM_PATH}a")
            fixture.stop()
            fixture.close()

            val text = response.get(PATIENCE_SECONDS, TimeUnit.SECONDS)
            expectThat(status(text) to text.endsWith("0\r\n\r\n"))
                .isEqualTo("HTTP/1.1 200 OK" to false)
        }
    }

    @Nested
    inner class `a request that arrives in the grace period` {
        @Test
        fun `is passed on in its first half`() {
            val stopped = stopInBackground()
            TimeUnit.MILLISECONDS.sleep(EARLY_MILLIS)
            fixture.call("${WireSamples.NON_IDEMPOTENT_PATH}a", "r-1")
            stopped.get(PATIENCE_SECONDS, TimeUnit.SECONDS)

            expectThat(reached.toList()).isEqualTo(listOf("r-1"))
        }

        @Test
        fun `is refused as not executed, and not passed on, later`() {
            val stopped = stopInBackground()
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS)
            val response = fixture.call("${WireSamples.NON_IDEMPOTENT_PATH}a", "r-1")
            stopped.get(PATIENCE_SECONDS, TimeUnit.SECONDS)

            expectThat(status(response)).isEqualTo("HTTP/1.1 503 Service Unavailable")
            expectThat(reached.toList()).isEqualTo(emptyList())
        }
    }

    /**
     * Guards against LOST: a router that had found nothing in work still took requests until its process ended, and cut
     * them without an answer though they ran.
     */
    @Nested
    inner class `once the stop has ended` {
        @Test
        fun `no connection is accepted`() {
            fixture.stop()

            expectThrows<ConnectException> { fixture.connect() }
        }

        @Test
        fun `no request is read on a connection that was kept`() {
            fixture.connect().use { caller ->
                val request = fixture.request("${WireSamples.UNARY_PATH}a", "kept", keepAlive = true)
                caller.soTimeout = (PATIENCE_SECONDS * MILLIS_PER_SECOND).toInt()
                caller.getOutputStream().write(request.toByteArray())
                expectThat(caller.getInputStream().read()).isEqualTo('H'.code)
                fixture.stop()

                expectThat(caller.getInputStream().readAllBytes().decodeToString()).startsWith("TTP/1.1 200 OK")
            }
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val PATIENCE_SECONDS = 5L
        const val EVENT_MILLIS = 50L

        /** Times since the request to stop; the fixture's grace period is a second. */
        const val EARLY_MILLIS = 100L
        const val LATE_MILLIS = 600L
    }
}
