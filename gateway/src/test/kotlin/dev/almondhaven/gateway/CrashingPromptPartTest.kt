package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.TimeUnit

/** Guards against requests that crash one endpoint after the other. */
class CrashingPromptPartTest {
    private val endpoints = List(ENDPOINTS) { number -> ScriptedEndpoint { serve(number, it) } }
    private val fixture = GatewayFixture(endpoints)

    @AfterEach
    fun end() = fixture.close()

    /** Confidence of the smaller model; answers of low confidence are cancelled for the larger one's. */
    private var smallConfidence = 90

    private fun serve(
        number: Int,
        request: ScriptedEndpoint.ReceivedRequest,
    ) {
        if (request.id == "ready") return request.respond("")
        val isSmall = WireSamples.model(request.head) == "m0"
        val headers = WireSamples.answerHeaders(request.id, confidence = if (isSmall) smallConfidence else 90)
        request.write(request.head("200 OK", headers + ("Transfer-Encoding" to "chunked")))
        if (request.head.any { DEADLY_PART in it }) {
            // The head has to arrive before the connection breaks.
            TimeUnit.MILLISECONDS.sleep(50)
            endpoints[number].crash()
        } else {
            request.write("$EVENT_CHUNK\r\n0\r\n\r\n")
        }
    }

    private fun call(
        id: String,
        prompt: String,
    ): String = fixture.call("${WireSamples.STREAM_PATH}a", id, headers = WireSamples.callHeaders(id, prompt = prompt))

    @Test
    fun `a prompt part that crashes endpoints reaches no more than two, and sound prompts are served`() {
        expectThat(call("sound-1", "system:100,own-1:10")).contains("data: e")

        val deadly = (1..5).map { call("deadly-$it", "system:100,$DEADLY_PART:50,own-$it:10") }

        expectThat(endpoints.count { it.hasCrashed }).isLessThanOrEqualTo(2)
        expectThat(deadly.last()).startsWith("HTTP/1.1 503 ")
        expectThat(deadly.last().lowercase()).contains("retry-after: ")
        expectThat(call("sound-2", "system:100,own-2:10")).contains("data: e")
        expectThat(endpoints.flatMap { it.requestHeads }.map(WireSamples::requestId).filter { it.startsWith("deadly") })
            .isEqualTo(List(2) { "deadly-1" })
    }

    @Test
    fun `a prompt part that crashes endpoints after the request was cancelled for a larger model is found as well`() {
        expectThat(call("sound-1", "system:100,own-1:10")).contains("data: e")
        smallConfidence = 10

        (1..5).forEach { call("deadly-$it", "system:100,$DEADLY_PART:50,own-$it:10") }

        expectThat(endpoints.count { it.hasCrashed }).isLessThanOrEqualTo(CRASHES_TO_LEARN)
        expectThat(call("sound-2", "system:100,own-2:10")).contains("data: e")
    }

    private companion object {
        const val ENDPOINTS = 6

        /** The users allow so many crashes before a part has to be known. */
        const val CRASHES_TO_LEARN = 5
        const val DEADLY_PART = "deadly-part"
        const val EVENT_CHUNK = "f\r\nid: 1\ndata: e\n\n"
    }
}
