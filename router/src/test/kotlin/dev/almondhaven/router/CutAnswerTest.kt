package dev.almondhaven.router

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.router.endpoint.EndpointClients
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletionException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Guards against MIXED: the part of an answer without a length whose connection was reset, taken for all of it. */
class CutAnswerTest {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val workers = EndpointClients.newWorkers(threads = 1)
    private val clients = EndpointClients(workers, 1.seconds, 1.seconds)

    @AfterEach
    fun close() {
        server.close()
        clients.close()
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Volatile
    private var answered = 0

    /** Answers each request when its head has arrived, and closes the connection with the body unread. */
    private fun answerEarly() {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            while (true) {
                val request = line(socket)
                while (line(socket).isNotEmpty()) continue
                if (request.startsWith("POST")) return answer(socket)
                // Armeria tries HTTP/2 first, and then an upgrade to it.
                socket.getOutputStream().write(StutteringServer.answer("").toByteArray())
                if (!request.startsWith("OPTIONS")) return socket.close()
            }
        } catch (_: IOException) {
            // The client has closed the connection.
        }
    }

    private fun answer(socket: Socket) {
        TimeUnit.MILLISECONDS.sleep(WRITE_MILLIS)
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart".toByteArray())
        answered++
        socket.close()
    }

    private fun line(socket: Socket): String =
        generateSequence { socket.getInputStream().read().takeIf { it >= 0 && it != '\n'.code } }
            .joinToString("") { "${it.toChar()}" }
            .trimEnd('\r')

    private fun upload(): String? {
        val address = "127.0.0.1:${server.localPort}"
        val endpoint =
            Endpoint(EndpointId("e"), FailureDomainId("west"), address, listOf(ModelVersionId.parse("slate@1")))
        val request = HttpRequest.of(HttpMethod.POST, "/orders", MediaType.PLAIN_TEXT, "b".repeat(UPLOAD_BYTES))
        return try {
            clients
                .of(endpoint)
                .execute(request)
                .aggregate()
                .join()
                .contentUtf8()
        } catch (_: CompletionException) {
            null
        }
    }

    @Test
    fun `an answer whose connection is reset behind it is not complete`() {
        answerEarly()

        expectThat(List(CALLS) { upload() }).isEqualTo(List(CALLS) { null })
        expectThat(answered).isEqualTo(CALLS)
    }

    private companion object {
        const val BACKLOG = 16
        const val UPLOAD_BYTES = 500_000

        /** Time in which the upload is written to the buffers of the connection. */
        const val WRITE_MILLIS = 50L
        const val CALLS = 10
    }
}
