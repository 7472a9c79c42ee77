package dev.almondhaven.gateway.state

import dev.almondhaven.gateway.ScriptedEndpoint
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.traffic.RollOutOrder
import dev.almondhaven.traffic.RollOutState
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A store whose answers come twice, as bytes on a kept connection. Its answers name no call. */
class HttpStoreClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private var store: ScriptedEndpoint? = null

    @AfterEach
    fun end() {
        store?.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    /** A client of a store that answers the calls it receives, counted from 0, as [script] says. */
    private fun clientOf(script: (call: Int, request: ScriptedEndpoint.ReceivedRequest) -> Unit): HttpStoreClient {
        var calls = 0
        val opened = ScriptedEndpoint { request -> script(synchronized(group) { calls++ }, request) }
        store = opened
        return onLoop { HttpStoreClient(loop, opened.address, NanoClock.SYSTEM) }
    }

    private fun <T> onLoop(action: () -> T): T = loop.submit(action).get(PATIENCE_SECONDS, TimeUnit.SECONDS)

    private fun HttpStoreClient.start(
        call: StoreCall,
        timeout: Duration = TIMEOUT,
    ): CompletableFuture<StoreResponse?> {
        val response = CompletableFuture<StoreResponse?>()
        loop.execute { this.call(call, timeout) { response.complete(it) } }
        return response
    }

    private fun HttpStoreClient.ask(
        call: StoreCall,
        timeout: Duration = TIMEOUT,
    ): StoreResponse? = start(call, timeout).get(PATIENCE_SECONDS, TimeUnit.SECONDS)

    /** Makes [second] as soon as [first] is answered, as the watchers do, and returns the answer to [second]. */
    private fun HttpStoreClient.askInTurn(
        first: StoreCall,
        second: StoreCall,
    ): StoreResponse? {
        val response = CompletableFuture<StoreResponse?>()
        loop.execute { this.call(first, TIMEOUT) { this.call(second, TIMEOUT) { response.complete(it) } } }
        return response.get(PATIENCE_SECONDS, TimeUnit.SECONDS)
    }

    private fun namesIn(response: StoreResponse?): List<String>? =
        response?.let { StoreCall.page(StoreKind.ENDPOINTS, it.body) }?.objects?.map { it.name }

    @Nested
    inner class `a second copy of the answer before` {
        @Test
        fun `is not taken for another kind's list if it follows at once`() {
            val client =
                clientOf { call, request ->
                    request.write(if (call == 0) answer(NO_OBJECTS).repeat(2) else answer(SERVERS))
                }

            expectThat(namesIn(client.askInTurn(LIST_EVACUATIONS, LIST_SERVERS))).isEqualTo(listOf("i-1"))
        }

        @Tag("known-red")
        @Test
        fun `is not taken for another kind's list if it comes late`() {
            val client =
                clientOf { call, request ->
                    if (call == 0) request.write(answer(NO_OBJECTS)) else request.writeBehindCopyOf(NO_OBJECTS, SERVERS)
                }
            client.ask(LIST_EVACUATIONS)

            expectThat(namesIn(client.ask(LIST_SERVERS))).isEqualTo(listOf("i-1"))
        }

        @Tag("known-red")
        @Test
        fun `is not taken for the success of a conditional write`() {
            val client =
                clientOf { call, request ->
                    if (call == 0) {
                        request.write(answer(NO_OBJECTS))
                    } else {
                        request.writeBehindCopyOf(NO_OBJECTS, entry(ROLL_OUT, revision = 9), "409 Conflict")
                    }
                }
            client.ask(LIST_EVACUATIONS)

            expectThat(client.ask(ROLL_BACK)?.status).isEqualTo(StoreCall.CONFLICT)
        }

        @Test
        fun `closes the connection if it comes between two calls`() {
            val client =
                clientOf { call, request ->
                    if (call == 0) {
                        request.write(answer(NO_OBJECTS))
                        TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS)
                        request.write(answer(NO_OBJECTS))
                    } else {
                        request.write(answer(SERVERS))
                    }
                }
            client.ask(LIST_EVACUATIONS)
            TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS * 4)

            expectThat(namesIn(client.ask(LIST_SERVERS))).isEqualTo(listOf("i-1"))
            expectThat(store?.connectionCount).isEqualTo(2)
        }
    }

    @Nested
    inner class `an answer that comes after its call has timed out` {
        @Test
        fun `is not taken for the next call's`() {
            val client =
                clientOf { call, request ->
                    TimeUnit.MILLISECONDS.sleep(SHORT_TIMEOUT.inWholeMilliseconds * 2)
                    request.write(answer(if (call == 0) NO_OBJECTS else SERVERS))
                }

            expectThat(client.ask(LIST_EVACUATIONS, SHORT_TIMEOUT)).isNull()
            expectThat(namesIn(client.ask(LIST_SERVERS))).isEqualTo(listOf("i-1"))
        }
    }

    /** Guards against DRAIN: after a cut watch, endpoints that had left were kept as if their entries had lapsed. */
    @Nested
    inner class `a recovery of the store` {
        private val cutOff = { request: ScriptedEndpoint.ReceivedRequest -> request.socket.close() }

        @Test
        fun `is not what follows a watch that was cut off while it waited`() {
            val client =
                clientOf { call, request ->
                    if (call ==
                        0
                    ) {
                        cutOff(request)
                    } else {
                        request.write(answer(SERVERS))
                    }
                }

            expectThat(client.ask(WATCH_SERVERS)).isNull()
            expectThat(namesIn(client.ask(LIST_SERVERS))).isEqualTo(listOf("i-1"))
            expectThat(onLoop { client.recoveredAt }).isNull()
        }

        @Test
        fun `is not what follows a watch that was never answered`() {
            val client = clientOf { call, request -> if (call > 0) request.write(answer(SERVERS)) }

            expectThat(client.ask(WATCH_SERVERS, SHORT_TIMEOUT)).isNull()
            expectThat(namesIn(client.ask(LIST_SERVERS))).isEqualTo(listOf("i-1"))
            expectThat(onLoop { client.recoveredAt }).isNull()
        }

        @Test
        fun `follows a call that was cut off, and one that was refused, watch or not`() {
            val failures =
                listOf<Pair<StoreCall, (ScriptedEndpoint.ReceivedRequest) -> Unit>>(
                    LIST_SERVERS to cutOff,
                    LIST_SERVERS to { it.write(answer("", "503 Service Unavailable")) },
                    WATCH_SERVERS to { it.write(answer("", "503 Service Unavailable")) },
                )
            failures.forEach { (failing, failure) ->
                val client =
                    clientOf { call, request ->
                        if (call ==
                            0
                        ) {
                            failure(request)
                        } else {
                            request.write(answer(SERVERS))
                        }
                    }
                expectThat(client.ask(failing)).isNull()
                client.ask(LIST_SERVERS)
                expectThat(onLoop { client.recoveredAt }).isNotNull()
                store?.close()
            }
        }
    }

    @Nested
    inner class `the proof that the configuration is recent` {
        @Tag("known-red")
        @Test
        fun `does not come from a second copy of an earlier answer`() {
            val bounds = TrafficBounds(1.seconds, 2.seconds, 5.seconds, 0.0, 0.0, 10.seconds, 5.seconds)
            val changed = """{"events":[{"object":${entry("main", revision = 8)},"removed":false}],"currentRev":8}"""
            var lastAnswered = 0L
            val client =
                clientOf { call, request ->
                    when (call) {
                        0 -> {
                            request.write(answer(CONFIGURATION))
                        }

                        1 -> {
                            lastAnswered = System.nanoTime()
                            request.write(answer(changed))
                        }

                        2 -> {
                            TimeUnit.MILLISECONDS.sleep(SHORT_WATCH_MILLIS)
                            request.writeCopyOf(CONFIGURATION)
                        }
                    }
                }
            val watcher =
                onLoop { ConfigurationWatcher(bounds, client, loop, NanoClock.SYSTEM, {}).also { it.start() } }
            awaitCalls(3)
            TimeUnit.MILLISECONDS.sleep(SHORT_WATCH_MILLIS + COPY_DELAY_MILLIS)
            val sinceAnswer = (System.nanoTime() - lastAnswered) / NANOS_PER_MILLI

            expectThat(onLoop { watcher.confirmationAge() }.inWholeMilliseconds).isGreaterThanOrEqualTo(sinceAnswer)
        }
    }

    private fun awaitCalls(count: Int) {
        while ((store?.requestHeads?.size ?: 0) < count) TimeUnit.MILLISECONDS.sleep(1)
    }

    private fun ScriptedEndpoint.ReceivedRequest.writeBehindCopyOf(
        earlier: String,
        own: String,
        status: String = "200 OK",
    ) {
        writeCopyOf(earlier)
        TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS)
        write(answer(own, status))
    }

    /** Writes a second copy, which can only come on the connection that carried the first. */
    private fun ScriptedEndpoint.ReceivedRequest.writeCopyOf(earlier: String) {
        if (store?.connectionCount == 1) write(answer(earlier))
    }

    private companion object {
        const val PATIENCE_SECONDS = 10L
        const val COPY_DELAY_MILLIS = 30L
        const val NANOS_PER_MILLI = 1_000_000L
        val TIMEOUT = 2.seconds
        val SHORT_TIMEOUT = 100.milliseconds
        const val ROLL_OUT = "checkout"

        /** Longer than the watch that follows a change of the configuration waits for the next one. */
        const val SHORT_WATCH_MILLIS = 600L
        val LIST_EVACUATIONS = StoreCall.list(StoreKind.EVACUATIONS, after = null)
        val LIST_SERVERS = StoreCall.list(StoreKind.ENDPOINTS, after = null)
        val WATCH_SERVERS = StoreCall.watch(StoreKind.ENDPOINTS, revision = 5, wait = 28.seconds)
        val ROLL_BACK =
            StoreCall.setState(
                RollOutOrder(
                    ServiceId(ROLL_OUT),
                    "2",
                    60.seconds,
                    RollOutState.RUNNING,
                    revision = 8,
                    creationRevision = 1,
                ),
                RollOutState.ROLLED_BACK,
                1.seconds,
            )
        val CONFIGURATION = page(entry("main", revision = 1))
        val SERVERS = page(entry("i-1", revision = 5))
        val NO_OBJECTS = page()

        fun entry(
            name: String,
            revision: Long,
        ): String =
            """{"metadata":{"name":"$name","revision":$revision,"created":1},""" +
                """"spec":{"service":"$name","target":"2","durationS":60},"status":null}"""

        fun page(vararg entries: String): String =
            """{"items":[${entries.joinToString(",")}],"truncated":false,"currentRev":7}"""

        fun answer(
            body: String,
            status: String = "200 OK",
        ): String = "HTTP/1.1 $status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
