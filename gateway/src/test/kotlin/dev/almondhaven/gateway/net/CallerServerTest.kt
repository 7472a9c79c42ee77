package dev.almondhaven.gateway.net

import dev.almondhaven.traffic.CallerLimits
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class CallerServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val served = CopyOnWriteArrayList<String>()
    private var body = "ok".toByteArray()
    private val handler =
        RequestHandler { request, writer ->
            served += request.path
            writer.respond(OK, emptyList(), body)
            CompletedRequest
        }
    private val server = CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, handler)
    private val port = (server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port

    @AfterEach
    fun end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun send(path: String) =
        Socket("127.0.0.1", port).apply {
            getOutputStream().write("GET $path HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
        }

    /** Keeps the event loop busy while [action] runs, as the start of the process does. */
    private fun whileLoopIsBusy(action: () -> Unit) {
        val blocked = CountDownLatch(1)
        val released = CountDownLatch(1)
        group.next().execute {
            blocked.countDown()
            released.await()
        }
        blocked.await()
        action()
        released.countDown()
    }

    @Nested
    inner class `a request that waited unread` {
        @Test
        fun `is dropped if its caller has left, and served if not`() {
            val waiting = ArrayList<Socket>()
            whileLoopIsBusy {
                repeat(5) { send("/left").close() }
                waiting += send("/waits")
            }
            val response = waiting.single().use { it.getInputStream().read() }
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)

            expectThat(response).isEqualTo('H'.code)
            expectThat(served.toList()).isEqualTo(listOf("/waits"))
        }

        @Test
        fun `is dropped too on a connection that has served a request before`() {
            val socket = send("/first")
            // Unread bytes would make the close a reset, which discards the request.
            while (socket.getInputStream().read() != 'k'.code) continue
            whileLoopIsBusy {
                socket.getOutputStream().write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                socket.close()
            }
            send("/last").use { it.getInputStream().read() }

            expectThat(served.toList()).isEqualTo(listOf("/first", "/last"))
        }
    }

    /** Guards against LOST: a stopping router closed connections whose answers were still on their way. */
    @Nested
    inner class `a connection counts as busy` {
        private fun isBusy() = onLoop { server.isBusy }

        /** Waits until the event loop has read what was sent. */
        private fun becomesBusy(): Boolean =
            generateSequence { isBusy().also { if (!it) TimeUnit.MILLISECONDS.sleep(1) } }
                .take(MOST_CHECKS)
                .any { it }

        private fun closeIdle(): Unit = onLoop { server.drain() }.let {}

        @Test
        fun `while its caller has yet to read the response`() {
            body = ByteArray(LARGE_BODY_BYTES)
            val caller = send("/slow")
            while (caller.getInputStream().read() != '\r'.code) continue

            expectThat(isBusy()).isEqualTo(true)
            closeIdle()
            expectThat(caller.getInputStream().readNBytes(LARGE_BODY_BYTES).size).isEqualTo(LARGE_BODY_BYTES)
        }

        @Test
        fun `while a request has arrived in part`() {
            val caller = Socket("127.0.0.1", port)
            val request = "GET /parts HTTP/1.1\r\nHost: a\r\n\r\n"
            caller.getOutputStream().write(request.take(request.length / 2).toByteArray())

            expectThat(becomesBusy()).isEqualTo(true)
            closeIdle()
            caller.getOutputStream().write(request.drop(request.length / 2).toByteArray())
            expectThat(caller.getInputStream().read()).isEqualTo('H'.code)
        }
    }

    @Nested
    inner class `a server that is drained` {
        private fun drain() {
            while (!onLoop { server.drain() }) TimeUnit.MILLISECONDS.sleep(1)
        }

        @Test
        fun `serves what waits to be accepted`() {
            val waiting = ArrayList<Socket>()
            whileLoopIsBusy {
                repeat(MORE_THAN_ONE_ACCEPT) { waiting += send("/$it") }
                group.next().execute { server.drain() }
            }
            drain()

            val responses =
                waiting.map {
                    it
                        .getInputStream()
                        .readAllBytes()
                        .decodeToString()
                        .takeLast(2)
                }
            expectThat(responses.toSet()).isEqualTo(setOf("ok"))
        }

        @Test
        fun `closes its port and all connections in the end`() {
            val kept = send("/kept")
            drain()

            expectThat(
                kept
                    .getInputStream()
                    .readAllBytes()
                    .decodeToString()
                    .takeLast(2),
            ).isEqualTo("ok")
            expectThrows<ConnectException> { send("/late") }
        }

        /** Guards against LOST: requests read after the last look at what is in work ran, and were cut by the exit. */
        @Test
        fun `cuts no request that it has read, whenever it arrives`() {
            val random = Random(SEED)
            val cut = (1..DRAINS).flatMap { number -> cutRequests(number, random) }

            expectThat(cut).isEqualTo(emptyList())
        }

        /** Requests that a server has read without an answer, of callers that connect around the moment of its exit. */
        private fun cutRequests(
            number: Int,
            random: Random,
        ): List<String> {
            val process = ExitingProcess()
            val address = process.server.listen("127.0.0.1:0").localAddress()
            val pauses = List(CALLERS) { random.nextLong(LONGEST_PAUSE_MICROS) }
            val callers = pauses.mapIndexed { index, pause -> callAfter(pause, address, "/$number/$index") }
            while (!onLoop { process.server.drain() }) {
                TimeUnit.MICROSECONDS.sleep(
                    random.nextLong(LONGEST_PAUSE_MICROS),
                )
            }
            TimeUnit.MICROSECONDS.sleep(random.nextLong(LONGEST_PAUSE_MICROS))
            process.hasExited = true
            val answered = callers.mapNotNull { it.get(PATIENCE_SECONDS, TimeUnit.SECONDS) }
            return process.read - answered.toSet()
        }

        /** The path of the request if it was answered; null if it was not. */
        private fun callAfter(
            pauseMicros: Long,
            address: SocketAddress,
            path: String,
        ): CompletableFuture<String?> =
            CompletableFuture.supplyAsync {
                TimeUnit.MICROSECONDS.sleep(pauseMicros)
                try {
                    Socket().use { socket ->
                        socket.connect(address)
                        socket.getOutputStream().write("GET $path HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                        path.takeIf {
                            socket
                                .getInputStream()
                                .readAllBytes()
                                .decodeToString()
                                .endsWith("ok")
                        }
                    }
                } catch (_: IOException) {
                    null
                }
            }
    }

    /** A server that takes a moment for each request, and answers none once its process has ended. */
    private inner class ExitingProcess {
        @Volatile
        var hasExited = false
        val read = CopyOnWriteArrayList<String>()
        val server =
            CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { true }, ::serve, quietPeriod = QUIET_PERIOD)

        private fun serve(
            request: CallerRequest,
            writer: ResponseWriter,
        ): InFlightRequest {
            read += request.path
            val respond = { if (hasExited) writer.abort() else writer.respond(OK, emptyList(), body) }
            group.next().schedule(respond, WORK_MILLIS, TimeUnit.MILLISECONDS)
            return CompletedRequest
        }
    }

    private fun <T> onLoop(action: () -> T): T = group.next().submit<T> { action() }.get()

    private companion object {
        const val OK = 200

        /** More than the buffers of the connection hold. */
        const val LARGE_BODY_BYTES = 33_554_432

        /** Connections that are accepted in one turn of the event loop, and some more. */
        const val MORE_THAN_ONE_ACCEPT = 40
        const val SEED = 59L
        const val WORK_MILLIS = 2L
        const val DRAINS = 60
        const val CALLERS = 8
        const val LONGEST_PAUSE_MICROS = 20_000L
        const val PATIENCE_SECONDS = 5L
        const val MOST_CHECKS = 2_000
        val QUIET_PERIOD = 10.milliseconds

        /** Several turns of the event loop. */
        const val SETTLE_MILLIS = 50L
    }
}
