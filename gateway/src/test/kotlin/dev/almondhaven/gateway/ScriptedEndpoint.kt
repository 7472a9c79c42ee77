package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.channels.ClosedChannelException
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** An endpoint whose response to each request is written by a script as raw bytes, well-formed or not. */
internal class ScriptedEndpoint(
    private val script: (ReceivedRequest) -> Unit,
) : AutoCloseable {
    /** A received request, and the connection to respond on. */
    class ReceivedRequest(
        val head: List<String>,
        val body: String,
        val socket: Socket,
    ) {
        val id: String get() = WireSamples.requestId(head)

        fun write(text: String) {
            socket.getOutputStream().write(text.toByteArray())
            socket.getOutputStream().flush()
        }

        fun respond(
            body: String,
            status: String = "200 OK",
            headers: List<Pair<String, String>> = WireSamples.answerHeaders(id),
        ): Unit = write(head(status, headers + ("Content-Length" to "${body.length}")) + body)

        fun head(
            status: String,
            headers: List<Pair<String, String>>,
        ): String = "HTTP/1.1 $status\r\n" + headers.joinToString("") { (name, value) -> "$name: $value\r\n" } + "\r\n"

        /** Closes the connection with a TCP reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    /** Not blocking, since the port would stay open until a blocked thread has woken up after [crash]. */
    private val server =
        ServerSocketChannel.open().bind(InetSocketAddress("127.0.0.1", 0)).apply { configureBlocking(false) }
    private val port = (server.localAddress as InetSocketAddress).port
    val address: String get() = "127.0.0.1:$port"

    /** Heads of the received requests. */
    val requestHeads = CopyOnWriteArrayList<List<String>>()

    init {
        thread(isDaemon = true) { accept() }
    }

    private val sockets = CopyOnWriteArrayList<Socket>()

    val connectionCount: Int get() = sockets.size

    /** Whether the endpoint has crashed: it has closed all connections and listens no more. */
    @Volatile
    var hasCrashed = false
        private set

    fun crash() {
        hasCrashed = true
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = server.accept()?.socket()
                if (socket == null) {
                    TimeUnit.MILLISECONDS.sleep(ACCEPT_INTERVAL_MILLIS)
                } else {
                    sockets += socket
                    thread(isDaemon = true) { serve(socket) }
                }
            }
        } catch (_: ClosedChannelException) {
            // The endpoint was closed.
        }
    }

    private fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val head = generateSequence { line(input) }.takeWhile { it.isNotEmpty() }.toList()
                if (head.isEmpty()) return socket.close()
                val length =
                    head
                        .firstOrNull { it.startsWith("content-length:", true) }
                        ?.substringAfter(':')
                        ?.trim()
                        ?.toInt()
                        ?: 0
                requestHeads += head
                script(ReceivedRequest(head, String(input.readNBytes(length)), socket))
            }
        } catch (_: IOException) {
            // The router or the script has closed the connection.
        }
    }

    private fun line(input: BufferedInputStream): String? {
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return text.toString().trimEnd('\r')
            text.append(next.toChar())
        }
    }

    override fun close(): Unit = server.close()

    private companion object {
        const val ACCEPT_INTERVAL_MILLIS = 1L
    }
}
