package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.util.concurrent.TimeUnit

/** Guards against bytes behind a response that spoil the next request on the connection. */
class UnsolicitedBytesTest {
    private var bytesBehind = ""

    /** What the endpoint sends before its second answer on a connection. */
    private var bytesBefore = ""
    private var isLate = false
    private val endpoint =
        ScriptedEndpoint {
            if (it.id == "r-2") it.write(bytesBefore)
            val answer = it.head("200 OK", WireSamples.answerHeaders(it.id) + ("Content-Length" to "5")) + "slate"
            if (isLate) {
                it.write(answer)
                TimeUnit.MILLISECONDS.sleep(LATE_MILLIS)
                it.write(bytesBehind)
            } else {
                it.write(answer + bytesBehind)
            }
        }
    private val fixture = GatewayFixture(listOf(endpoint))

    @AfterEach
    fun end() = fixture.close()

    private fun callTwice(): List<String> =
        (1..2).map { number ->
            fixture.call("${WireSamples.NON_IDEMPOTENT_PATH}a", "r-$number").also {
                TimeUnit.MILLISECONDS.sleep(2 * LATE_MILLIS)
            }
        }

    private fun expectBothServed(responses: List<String>) {
        responses.forEach {
            expectThat(it).startsWith("HTTP/1.1 200 OK")
            expectThat(it.substringAfter("\r\n\r\n")).isEqualTo("slate")
        }
        expectThat(endpoint.requestHeads.map(WireSamples::requestId)).isEqualTo(listOf("r-1", "r-2"))
    }

    @Test
    fun `bytes without a line end that follow a response at once don't fail the next request`() {
        bytesBehind = "\u0001\u0002\u0003"

        expectBothServed(callTwice())
    }

    @Test
    fun `bytes without a line end that arrive while the connection is idle don't fail the next request`() {
        bytesBehind = "\u0001\u0002\u0003"
        isLate = true

        expectBothServed(callTwice())
    }

    @Test
    fun `a line of a second response that follows at once doesn't fail the next request`() {
        bytesBehind = "HTTP/1.1 200 OK\r\n"

        expectBothServed(callTwice())
    }

    @Test
    fun `part of a line of a second response that follows at once doesn't fail the next request`() {
        bytesBehind = "HTTP/1.1 200 OK\r\nContent-Len"

        expectBothServed(callTwice())
    }

    @Test
    fun `the beginning of a second response doesn't fail the next request`() {
        bytesBehind = "HTTP/1.1 200 OK\r\nContent-Len"
        isLate = true

        expectBothServed(callTwice())
    }

    @Test
    fun `a refusal without a request id on a connection in use again is no refusal of the next request`() {
        bytesBefore =
            "HTTP/1.1 503 Service Unavailable\r\n${WireSamples.notRun().first}: 1\r\nContent-Length: 0\r\n\r\n"
        val responses = callTwice()

        expectThat(responses.first()).startsWith("HTTP/1.1 200 OK")
        expectThat(responses.last()).startsWith("HTTP/1.1 502 Bad Gateway")
        expectThat(endpoint.requestHeads.map(WireSamples::requestId)).isEqualTo(listOf("r-1", "r-2"))
    }

    @Test
    fun `a response to a HEAD request is complete without a body`() {
        val request = fixture.request("${WireSamples.UNARY_PATH}a", "r-1").replaceFirst("POST", "HEAD")

        expectThat(fixture.sendRaw(request)).startsWith("HTTP/1.1 200 OK")
    }

    private companion object {
        const val LATE_MILLIS = 50L
    }
}
