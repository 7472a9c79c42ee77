package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Requests through a whole gateway to endpoints that answer as scripted. */
class GatewayPathTest {
    private var scene: GatewayFixture? = null

    @AfterEach
    fun end() {
        scene?.close()
    }

    private fun scene(
        vararg scripts: (ScriptedEndpoint.Served) -> Unit,
        repeats: Boolean = true,
    ): Pair<GatewayFixture, List<ScriptedEndpoint>> {
        val endpoints =
            scripts.map { script ->
                ScriptedEndpoint {
                    if (it.id ==
                        "ready"
                    ) {
                        it.answer("")
                    } else {
                        script(it)
                    }
                }
            }
        return GatewayFixture(endpoints, repeats).also { scene = it } to endpoints
    }

    private val whole = "${WireSamples.WHOLE_PATH}a"
    private val once = "${WireSamples.ONCE_PATH}a"
    private val stream = "${WireSamples.STREAM_PATH}a"

    private fun status(answer: String) = answer.substringBefore("\r\n")

    private fun bodyOf(answer: String) = answer.substringAfter("\r\n\r\n")

    private fun List<ScriptedEndpoint>.requests() = sumOf { it.arrived.size }

    @Nested
    inner class `a whole answer` {
        @Test
        fun `comes back unchanged with its signature`() {
            val (scene, endpoints) = scene({ it.answer("slate ${it.body}") })
            val answer = scene.call(whole, "r-1", body = "grey")

            expectThat(status(answer)).isEqualTo("HTTP/1.1 200 OK")
            expectThat(bodyOf(answer)).isEqualTo("slate grey")
            expectThat(answer.lowercase()).contains("seal-r-1")
            expectThat(endpoints.requests()).isEqualTo(1)
        }

        @Test
        fun `without a signature is not passed on`() {
            val (scene, _) =
                scene({
                    it.answer(
                        "forged",
                        headers =
                            WireSamples.answerHeaders(it.id).filter { (_, value) ->
                                "seal" !in
                                    value
                            },
                    )
                })
            expectThat(status(scene.call(once, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        @Test
        fun `that has no length and ends by a reset is not complete`() {
            val (scene, _) =
                scene({
                    it.write(it.head("200 OK", WireSamples.answerHeaders(it.id)) + "half of")
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.reset()
                })
            expectThat(status(scene.call(once, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }

        @Test
        fun `of another request is dropped`() {
            val (scene, _) =
                scene({
                    it.answer("late", headers = WireSamples.answerHeaders("r-0"))
                    it.answer("own")
                })
            expectThat(bodyOf(scene.call(whole, "r-1"))).isEqualTo("own")
        }

        @Test
        fun `with a second answer behind it does not spoil the next request`() {
            val (scene, _) =
                scene({
                    it.answer("first")
                    it.answer("second")
                })
            expectThat((1..5).map { bodyOf(scene.call(whole, "r-$it")) }).isEqualTo(List(5) { "first" })
        }
    }

    @Nested
    inner class `a request that may not be repeated` {
        @Test
        fun `is sent once if its connection ends without an answer, and no promise is made`() {
            val (scene, endpoints) = scene({ it.socket.close() }, { it.socket.close() })
            expectThat(status(scene.call(once, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
            expectThat(endpoints.requests()).isEqualTo(1)
        }

        @Test
        fun `goes to another endpoint if the first one states that it has not run it`() {
            val turnAway: (ScriptedEndpoint.Served) -> Unit = {
                it.answer("", "503 Service Unavailable", listOf(WireSamples.notRun()))
            }
            val tried = CountDownLatch(1)
            val (scene, _) =
                scene({ if (tried.count > 0) tried.countDown().also { _ -> turnAway(it) } else it.answer("booked") }, {
                    if (tried.count > 0) tried.countDown().also { _ -> turnAway(it) } else it.answer("booked")
                })
            expectThat(bodyOf(scene.call(once, "r-1"))).isEqualTo("booked")
        }

        @Test
        fun `is told not to have run if every endpoint states so`() {
            val (scene, _) = scene({ it.answer("", "503 Service Unavailable", listOf(WireSamples.notRun())) })
            val answer = scene.call(once, "r-1")
            expectThat(status(answer)).isEqualTo("HTTP/1.1 503 Service Unavailable")
            expectThat(answer.lowercase()).contains("retry-after:")
        }

        @Test
        fun `gets no promise from an endpoint's 503 that does not state so`() {
            val (scene, _) = scene({ it.answer("busy", "503 Service Unavailable") })
            expectThat(status(scene.call(once, "r-1"))).isEqualTo("HTTP/1.1 502 Bad Gateway")
        }
    }

    @Nested
    inner class `a request that may be repeated` {
        @Test
        fun `runs at another endpoint if the first one fails`() {
            val failed = CountDownLatch(1)
            val script: (ScriptedEndpoint.Served) -> Unit = {
                if (failed.count > 0) failed.countDown().also { _ -> it.socket.close() } else it.answer("found")
            }
            val (scene, endpoints) = scene(script, script)
            expectThat(bodyOf(scene.call(whole, "r-1"))).isEqualTo("found")
            expectThat(endpoints.map { it.arrived.size }).isEqualTo(listOf(1, 1))
        }

        @Test
        fun `gets the last endpoint's failure with its signature when all attempts fail`() {
            val (scene, endpoints) =
                scene({
                    it.answer("broken", "500 Internal Server Error")
                }, { it.answer("broken", "500 Internal Server Error") })
            val answer = scene.call(whole, "r-1")
            expectThat(status(answer)).isEqualTo("HTTP/1.1 500 Internal Server Error")
            expectThat(bodyOf(answer)).isEqualTo("broken")
            expectThat(endpoints.requests()).isEqualTo(2)
        }
    }

    @Nested
    inner class `a stream` {
        private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: e$it\n\n" }

        private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

        private fun ScriptedEndpoint.Served.begin(confidence: Int = 90): Unit =
            write(head("200 OK", WireSamples.answerHeaders(id, confidence) + ("Transfer-Encoding" to "chunked")))

        /** What the chunks of an answer hold. */
        private fun unchunked(answer: String): String {
            var rest = bodyOf(answer)
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
        fun `that breaks in the middle of an event goes on elsewhere, each event once`() {
            val script: (ScriptedEndpoint.Served) -> Unit = {
                it.begin()
                if (WireSamples.resumesAfter(it.head).isEmpty()) {
                    it.write(chunk(events(1..3) + "id: 4\nda"))
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.socket.close()
                } else {
                    it.write(chunk(events(3..6)) + "0\r\n\r\n")
                }
            }
            val (scene, endpoints) = scene(script, script)
            expectThat(unchunked(scene.call(stream, "r-1"))).isEqualTo(events(1..6))
            expectThat(
                endpoints.flatMap { it.arrived }.map(WireSamples::resumesAfter).toSet(),
            ).isEqualTo(setOf("", "3"))
        }

        @Test
        fun `that pauses is waited for where it could not be repeated, for want of a budget`() {
            val script: (ScriptedEndpoint.Served) -> Unit = {
                it.begin()
                it.write(chunk(events(1..2)))
                TimeUnit.MILLISECONDS.sleep(1_500)
                it.write(chunk(events(3..4)) + "0\r\n\r\n")
            }
            val (scene, endpoints) = scene(script, script, repeats = false)

            expectThat(unchunked(scene.call(stream, "r-1"))).isEqualTo(events(1..4))
            expectThat(endpoints.requests()).isEqualTo(1)
        }

        @Test
        fun `that can't go on does not look complete`() {
            val (scene, _) =
                scene({
                    it.begin()
                    it.write(chunk(events(1..2)))
                    TimeUnit.MILLISECONDS.sleep(50)
                    it.socket.close()
                })
            expectThat(unchunked(scene.call(stream, "r-1"))).contains("(cut)")
        }

        @Test
        fun `of low confidence is dropped for a larger model before the caller has any of it`() {
            val (scene, endpoints) =
                scene({
                    val small = WireSamples.model(it.head) == "m0"
                    it.begin(confidence = if (small) 10 else 95)
                    it.write(chunk(if (small) "id: 1\ndata: poor\n\n" else events(1..2)) + "0\r\n\r\n")
                })
            expectThat(unchunked(scene.call(stream, "r-1"))).isEqualTo(events(1..2))
            expectThat(endpoints.flatMap { it.arrived }.map(WireSamples::model)).isEqualTo(listOf("m0", "m1"))
        }

        @Test
        fun `ends at the endpoint when the caller leaves`() {
            val ended = CountDownLatch(1)
            val (scene, _) =
                scene({
                    it.begin()
                    it.write(chunk(events(1..1)))
                    if (it.socket.getInputStream().read() < 0) ended.countDown()
                })
            scene.connect().use { socket ->
                socket.getOutputStream().write(scene.request(stream, "r-1").toByteArray())
                expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
            }
            expectThat(ended.await(10, TimeUnit.SECONDS)).isEqualTo(true)
        }
    }

    @Nested
    inner class `a request that is not served` {
        @Test
        fun `of an unknown key or route gets 401 or 404 and reaches nobody`() {
            val (scene, endpoints) = scene({ it.answer("") })
            val answers =
                listOf(
                    scene.call(whole, "r-1", headers = WireSamples.callHeaders("r-1", key = "other")),
                    scene.call("/elsewhere/", "r-2"),
                    scene.call(whole, "r-3", headers = emptyList()),
                )
            expectThat(answers.map(::status))
                .isEqualTo(listOf("HTTP/1.1 401 Unauthorized", "HTTP/1.1 404 Not Found", "HTTP/1.1 400 Bad Request"))
            expectThat(endpoints.requests()).isEqualTo(0)
        }

        @Test
        fun `states its length twice, gets 400 and carries nothing in`() {
            val (scene, endpoints) = scene({ it.answer("") })
            val smuggled = scene.request(whole, "r-2")
            val text =
                scene
                    .request(whole, "r-1", body = smuggled, keepAlive = true)
                    .replace("Host:", "Transfer-Encoding: chunked\r\nHost:")
            expectThat(scene.exchange(text)).startsWith("HTTP/1.1 400 ")
            expectThat(endpoints.requests()).isEqualTo(0)
        }

        @Test
        fun `is larger than the limits gets 413 or 431`() {
            val (scene, _) = scene({ it.answer("") })
            expectThat(scene.call(whole, "r-1", body = "x".repeat(100_001))).startsWith("HTTP/1.1 413 ")
            val long = WireSamples.callHeaders("r-1") + ("X-Long" to "x".repeat(20_000))
            expectThat(scene.call(whole, "r-1", headers = long)).startsWith("HTTP/1.1 431 ")
        }
    }
}
