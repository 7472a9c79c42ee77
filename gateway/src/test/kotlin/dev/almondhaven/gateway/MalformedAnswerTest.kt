package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against MIXED: an endpoint's answer that is none in HTTP, and reached the caller as one. */
class MalformedAnswerTest {
    /** What the endpoint answers, for each request id. */
    private val answers = HashMap<String, ScriptedEndpoint.ReceivedRequest.() -> String>()
    private val endpoints =
        List(2) {
            ScriptedEndpoint {
                if (it.id == "ready") it.respond("") else it.write(answers.getValue(it.id)(it))
            }
        }
    private val fixture = GatewayFixture(endpoints)

    @AfterEach
    fun end() = fixture.close()

    /** The statuses that callers of a route whose requests may run once get for each of the [answers]. */
    private fun statusesFor(answers: Map<String, ScriptedEndpoint.ReceivedRequest.() -> String>): Map<String, String> {
        val ids = answers.keys.withIndex().associate { (index, case) -> case to "r-$index" }
        answers.forEach { (case, answer) -> this.answers[ids.getValue(case)] = answer }
        return answers.keys.associateWith { case ->
            fixture.call("${WireSamples.NON_IDEMPOTENT_PATH}a", ids.getValue(case)).substringBefore("\r\n")
        }
    }

    private fun expectAllFail(cases: Map<String, ScriptedEndpoint.ReceivedRequest.() -> String>) {
        expectThat(statusesFor(cases)).isEqualTo(cases.mapValues { BAD_GATEWAY })
        // Each may have run, so none is sent to another endpoint.
        expectThat(endpoints.sumOf { it.requestHeads.size }).isEqualTo(cases.size)
    }

    private fun expectAllPass(cases: Map<String, ScriptedEndpoint.ReceivedRequest.() -> String>): Unit =
        expectThat(statusesFor(cases)).isEqualTo(cases.mapValues { "HTTP/1.1 200 OK" }).let {}

    private fun ScriptedEndpoint.ReceivedRequest.answer(
        statusLine: String = "HTTP/1.1 200 OK",
        fields: List<String> = listOf("Content-Length: 6"),
        body: String = "booked",
    ): String {
        val own = WireSamples.answerHeaders(id).map { (name, value) -> "$name: $value" }
        return (listOf(statusLine) + own + fields).joinToString("") { "$it\r\n" } + "\r\n" + body
    }

    @Nested
    inner class `an answer whose status line is none` {
        @Test
        fun `fails, and is not repeated`() {
            val codes = listOf("000", "099", "600", "999", "20", "2000", "0200", "+200", "-200", "2x0", "")
            val versions = listOf("HTTP/1.1", "HTTP/2.0", "HTTP/11", "http/1.1", "ICY", "HTTP /1.1", "\u0001HTTP/1.1")
            val lines =
                codes.map { "HTTP/1.1 $it OK" } + versions.drop(1).map { "$it 200 OK" } +
                    listOf("HTTP/1.1  200 OK", "HTTP/1.1\t200\tOK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK")

            expectAllFail(lines.associateWith { line -> { answer(statusLine = line) } })
        }

        @Test
        fun `fails if it switches to another protocol`() {
            val fields = listOf("Upgrade: websocket", "Connection: upgrade")

            expectAllFail(mapOf("101" to { answer("HTTP/1.1 101 Switching Protocols", fields) }))
        }
    }

    @Nested
    inner class `an answer whose head holds a malformed line` {
        @Test
        fun `fails, and is not repeated`() {
            val lines =
                listOf(
                    "X Note: a",
                    "X-Note : a",
                    "X-Note\t: a",
                    "X-No\u0001te: a",
                    "X-Note\u0000: a",
                    "X-N\u00e4me: a",
                    ": a",
                    "X-Note",
                    " X-Note: a",
                    "X-Note: a\r\n folded: b",
                    "X-Note: a\rX-Other: b",
                    "Content-Length : 2",
                    "Content-Length\t: 2",
                    "Transfer-Encoding : chunked",
                )
            val behind = lines.associateWith { line -> answerWith("Content-Length: 6", line) }
            val before = lines.associate { line -> "first: $line" to answerWith(line, "Content-Length: 6") }
            val alone = lines.associate { line -> "alone: $line" to answerWith(line, "Connection: close") }

            expectAllFail(behind + before + alone)
        }

        @Test
        fun `fails if the line stands in a trailer`() {
            val chunks = "6\r\nbooked\r\n0\r\n"
            val trailers = listOf("X Note: a", "X-Note : a", "X-Note", "X-No\u0001te: a")

            expectAllFail(
                trailers.associateWith { line ->
                    { answer(fields = listOf("Transfer-Encoding: chunked"), body = "$chunks$line\r\n\r\n") }
                },
            )
        }

        @Test
        fun `fails if the length of the body is ambiguous`() {
            expectAllFail(
                mapOf(
                    "both" to answerWith("Content-Length: 6", "Transfer-Encoding: chunked"),
                    "coded" to answerWith("Transfer-Encoding: gzip", "Connection: close"),
                    "coded twice" to answerWith("Transfer-Encoding: gzip, chunked", "Connection: close"),
                    "two lengths" to answerWith("Content-Length: 6", "Content-Length: 2"),
                ),
            )
        }

        private fun answerWith(vararg fields: String): ScriptedEndpoint.ReceivedRequest.() -> String =
            { answer(fields = fields.toList()) }
    }

    @Nested
    inner class `an unusual answer that is one` {
        @Test
        fun `is passed on`() {
            expectAllPass(
                mapOf(
                    "without a reason" to { answer("HTTP/1.1 200") },
                    "with an empty reason" to { answer("HTTP/1.1 200 ") },
                    "with a reason of several words" to { answer("HTTP/1.1 200 All is well, thank you") },
                    "of the version before" to { answer("HTTP/1.0 200 OK") },
                    "after interim answers" to {
                        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                            "HTTP/1.1 199 Of a later standard\r\n\r\n" + answer()
                    },
                    "with fields without a value" to { answer(fields = listOf("X-Note:", "Content-Length:6")) },
                    "with a name of all characters" to {
                        answer(fields = listOf("!#$%&'*+-.^_`|~09azAZ: a", "Content-Length: 6"))
                    },
                    "in chunks with a trailer" to {
                        answer(
                            fields = listOf("Transfer-Encoding: CHUNKED"),
                            body = "6\r\nbooked\r\n0\r\nX-Note: a\r\n\r\n",
                        )
                    },
                    "after an empty line" to { "\r\n" + answer() },
                ),
            )
        }
    }

    private companion object {
        const val BAD_GATEWAY = "HTTP/1.1 502 Bad Gateway"
    }
}
