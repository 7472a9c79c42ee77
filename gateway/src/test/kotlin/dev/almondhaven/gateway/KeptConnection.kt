package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.net.Socket

/**
 * A response as the caller received it.
 *
 * @property isWhole whether all of the body arrived; not if the connection broke off.
 */
internal data class ReceivedAnswer(
    val head: List<String>,
    val body: String,
    val isWhole: Boolean,
) {
    val status: Int = head.first().split(' ')[1].toInt()
    val isSuccess: Boolean get() = status in 200..299
    val signature: String get() = WireSamples.signature(head)

    fun header(name: String): String =
        head
            .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
            .orEmpty()
}

/** A caller's connection to a router, kept for many requests. */
internal class KeptConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { tcpNoDelay = true }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Whether bytes have arrived though no request waits for a response. */
    val hasUnaskedBytes: Boolean get() = input.available() > 0

    /** Sends [request] and returns the response; fails if the connection ends before the end of its head. */
    fun call(
        request: String,
        timeoutMillis: Int,
    ): ReceivedAnswer {
        socket.soTimeout = timeoutMillis
        socket.getOutputStream().write(request.toByteArray())
        val head = generateSequence { line() }.takeWhile { it.isNotEmpty() }.toList()
        val body = StringBuilder()
        val isWhole =
            try {
                readBody(ReceivedAnswer(head, "", isWhole = false), body)
                true
            } catch (_: IOException) {
                false
            }
        return ReceivedAnswer(head, "$body", isWhole)
    }

    private fun readBody(
        answer: ReceivedAnswer,
        body: StringBuilder,
    ) {
        if (answer.header("Transfer-Encoding") != "chunked") {
            return readBytes(answer.header("Content-Length").toInt(), body)
        }
        while (true) {
            val length = line().toInt(HEXADECIMAL)
            readBytes(length, body)
            line()
            if (length == 0) return
        }
    }

    private fun readBytes(
        length: Int,
        body: StringBuilder,
    ) {
        val bytes = input.readNBytes(length)
        body.append(String(bytes))
        if (bytes.size < length) throw EOFException("in the middle of a body")
    }

    private fun line(): String {
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) throw EOFException("in the middle of a head or a body")
            if (next == '\n'.code) return text.toString().trimEnd('\r')
            text.append(next.toChar())
        }
    }

    override fun close(): Unit = socket.close()

    private companion object {
        const val HEXADECIMAL = 16
    }
}
