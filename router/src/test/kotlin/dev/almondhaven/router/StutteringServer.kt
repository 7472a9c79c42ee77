package dev.almondhaven.router

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * An HTTP/1.1 server on a raw socket whose answers, and whatever else it sends, are written by [script] as text. It
 * rejects HTTP/2, so that clients which try it first fall back.
 */
internal class StutteringServer(
    private val script: (Request) -> Unit,
) : AutoCloseable {
    /**
     * A received request.
     *
     * @property number counts the requests of all connections, from 0.
     * @property connection counts the connections that carried requests, from 0.
     */
    class Request(
        val number: Int,
        val connection: Int,
        val line: String,
        private val socket: Socket,
    ) {
        fun write(text: String) {
            socket.getOutputStream().write(text.toByteArray())
            socket.getOutputStream().flush()
        }

        /** Closes the connection. */
        fun close(): Unit = socket.close()
    }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private var requestCount = 0
    private var connectionCount = 0

    /** Address as `ip:port`. */
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            ignoringClose {
                while (true) {
                    server.accept().also { socket ->
                        thread(isDaemon = true) { ignoringClose { serve(socket) } }
                    }
                }
            }
        }
    }

    private fun ignoringClose(action: () -> Unit) {
        try {
            action()
        } catch (_: IOException) {
            // The client or the test has closed the socket.
        }
    }

    private fun serve(socket: Socket) {
        sockets += socket
        val input = BufferedInputStream(socket.getInputStream())
        var connection = -1
        while (true) {
            val head = generateSequence { line(input) }.takeWhile { it.isNotEmpty() }.toList()
            if (head.isEmpty()) return socket.close()
            if (head[0].startsWith(HTTP2_PREFACE)) {
                socket.getOutputStream().write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n".toByteArray())
                return socket.close()
            }
            if (head[0].startsWith(HTTP2_UPGRADE)) {
                socket.getOutputStream().write(answer("").toByteArray())
                continue
            }
            val length = head.firstOrNull { it.startsWith("content-length:", true) }?.substringAfter(':')?.trim()
            input.readNBytes(length?.toInt() ?: 0)
            val number =
                synchronized(sockets) {
                    if (connection < 0) connection = connectionCount++
                    requestCount++
                }
            script(Request(number, connection, head[0], socket))
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

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    companion object {
        private const val BACKLOG = 16
        private const val HTTP2_PREFACE = "PRI * HTTP/2.0"
        private const val HTTP2_UPGRADE = "OPTIONS *"

        fun answer(
            body: String,
            status: String = "200 OK",
            header: String = "Content-Type: application/json",
        ): String = "HTTP/1.1 $status\r\n$header\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
