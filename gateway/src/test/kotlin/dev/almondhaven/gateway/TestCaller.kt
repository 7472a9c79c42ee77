package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration

/** A caller that sends one request after the other on a kept connection, and resumes streams that broke off. */
internal class TestCaller(
    private val name: String,
    private val kind: CallKind,
    private val port: Int,
    private val random: Random,
    private val record: SendRecord,
    private val onOutcome: (CallerOutcome) -> Unit,
) {
    private var connection: KeptConnection? = null

    fun callUntil(endsAt: Duration) {
        var number = 0
        while (record.now() < endsAt) {
            callWithResumption("$name-${number++}")
            TimeUnit.MILLISECONDS.sleep(random.nextLong(LONGEST_PAUSE_MILLIS))
        }
        disconnect()
    }

    /** Each request of the caller's has an id of its own, also the one that goes on with a stream. */
    private fun callWithResumption(id: String) {
        var resumeAfter = 0
        repeat(MOST_REQUESTS) { number ->
            val answer = call("${id}_$number", resumeAfter) ?: return
            if (kind != CallKind.STREAM || !answer.isSuccess || answer.isWhole) return
            resumeAfter = lastEventOf(answer) ?: resumeAfter
        }
    }

    private fun lastEventOf(answer: ReceivedAnswer): Int? =
        answer.body
            .substringBeforeLast("\n\n", "")
            .lines()
            .lastOrNull { it.startsWith("id: ") }
            ?.substringAfter(' ')
            ?.toIntOrNull()

    private fun call(
        requestId: String,
        resumeAfter: Int,
    ): ReceivedAnswer? {
        var unaskedBytes = false
        val answer =
            try {
                val open = connection ?: KeptConnection(port).also { connection = it }
                unaskedBytes = open.hasUnaskedBytes
                open.call(text(requestId, resumeAfter), TIMEOUT_MILLIS)
            } catch (_: IOException) {
                null
            }
        onOutcome(CallerOutcome(requestId, kind, answer, record.now(), unaskedBytes))
        if (answer?.isWhole != true || answer.header("Connection") == "close") disconnect()
        return answer
    }

    private fun text(
        requestId: String,
        resumeAfter: Int,
    ): String {
        val own = listOf("Host" to "127.0.0.1", "Content-Length" to "0")
        // Only streams read a prompt.
        val prompt = if (kind == CallKind.STREAM) "a:100,b:10" else ""
        val resumption = if (resumeAfter > 0) listOf(WireSamples.resumeAfter(resumeAfter)) else emptyList()
        val headers = own + WireSamples.callHeaders(requestId, prompt = prompt) + resumption
        val lines = headers.joinToString("") { (name, value) -> "$name: $value\r\n" }
        return "${startLine()} HTTP/1.1\r\n$lines\r\n"
    }

    private fun startLine(): String =
        when (kind) {
            CallKind.STREAM -> "POST ${WireSamples.STREAM_PATH}a"
            CallKind.IDEMPOTENT -> "GET ${WireSamples.UNARY_PATH}a"
            CallKind.NON_IDEMPOTENT -> "POST ${WireSamples.NON_IDEMPOTENT_PATH}a"
        }

    private fun disconnect() {
        connection?.close()
        connection = null
    }

    private companion object {
        const val MOST_REQUESTS = 4
        const val TIMEOUT_MILLIS = 5_000
        const val LONGEST_PAUSE_MILLIS = 10L
    }
}
