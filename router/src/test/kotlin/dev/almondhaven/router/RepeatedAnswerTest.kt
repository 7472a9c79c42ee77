package dev.almondhaven.router

import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.common.SessionProtocol
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.router.endpoint.EndpointClients
import dev.almondhaven.router.peer.HttpPeerTransport
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.HttpObjectStore
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.WriteCondition
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.URI
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Servers that speak HTTP/1.1 and send an answer twice, and what the clients of the product take the copy for. */
class RepeatedAnswerTest {
    private val opened = ArrayList<AutoCloseable>()

    @AfterEach
    fun close(): Unit = opened.forEach { it.close() }

    private fun <T : AutoCloseable> open(resource: T): T = resource.also { opened += it }

    /** When a second copy of an answer comes. */
    private enum class Stutter {
        COPY_BEFORE_NEXT,
        COPY_AT_ONCE,
        COPY_WHILE_IDLE,
    }

    /** A server that answers each request as [answerOf] says, and repeats its answers on the connections they took. */
    private fun stutteringServer(
        stutter: Stutter,
        answerOf: (StutteringServer.Request) -> String,
    ): StutteringServer {
        val earlier = ConcurrentHashMap<Int, String>()
        return open(
            StutteringServer { request ->
                val own = answerOf(request)
                val copy = earlier.put(request.connection, own)
                if (stutter == Stutter.COPY_BEFORE_NEXT && copy != null) {
                    request.write(copy)
                    TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS)
                }
                request.write(if (stutter == Stutter.COPY_AT_ONCE) own + own else own)
                if (stutter == Stutter.COPY_WHILE_IDLE) {
                    TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS)
                    request.write(own)
                }
            },
        )
    }

    /** Answers the first request with [first] and the others with [next], with a copy of the answer before. */
    private fun serverWithLateCopy(
        first: String,
        next: String,
    ): StutteringServer = stutteringServer(Stutter.COPY_BEFORE_NEXT) { if (it.number == 0) first else next }

    /** The object that the store names in a request, as its value. */
    private fun objectOf(request: StutteringServer.Request): String =
        objectAnswer(request.line.split(' ')[1].substringAfterLast('/'), version = 1)

    /** What the store's client takes for the values of some objects, each of which holds its own name. */
    private fun readObjects(stutter: Stutter): List<String?> {
        val store = storeOf(stutteringServer(stutter, ::objectOf))
        return NAMES.map { name ->
            if (stutter == Stutter.COPY_WHILE_IDLE) TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS * 3)
            store.get(ObjectKey(name)).getOrNull()?.value
        }
    }

    private fun objectAnswer(
        value: String,
        version: Long,
        status: String = "200 OK",
    ): String = StutteringServer.answer(value, status, "ETag: \"$version\"")

    private fun storeOf(server: StutteringServer) = HttpObjectStore(URI("http://${server.address}"))

    @Nested
    inner class `a copy of the object store's answer` {
        @Test
        fun `is not taken for another object if it comes late`() {
            expectThat(readObjects(Stutter.COPY_BEFORE_NEXT)).isEqualTo(NAMES)
        }

        @Test
        fun `is not taken for another object if it follows at once`() {
            expectThat(readObjects(Stutter.COPY_AT_ONCE)).isEqualTo(NAMES)
        }

        @Test
        fun `is not taken for another object if it comes between two calls`() {
            expectThat(readObjects(Stutter.COPY_WHILE_IDLE)).isEqualTo(NAMES)
        }

        @Test
        fun `is not taken for the success of a conditional write`() {
            val refusal = StutteringServer.answer("", "412 Precondition Failed")
            val server =
                stutteringServer(Stutter.COPY_BEFORE_NEXT) {
                    if (it.line.startsWith("PUT")) refusal else objectOf(it)
                }
            val store = storeOf(server)
            val results =
                NAMES.map { name ->
                    store.get(ObjectKey(name))
                    store.put(ObjectKey(name), "new", WriteCondition.AtVersion(ObjectVersion(1)))
                }

            expectThat(results.distinct()).isEqualTo(listOf(PlatformError.ConditionFailed.left()))
        }
    }

    @Nested
    inner class `a late copy of an engine's answer` {
        private val workers = EndpointClients.newWorkers(threads = 1)
        private val clients = open(EndpointClients(workers, 1.seconds, 1.seconds))

        private fun endpoint(address: String) =
            Endpoint(EndpointId("e"), FailureDomainId("west"), address, listOf(ModelVersionId.parse("slate@1")))

        @Tag("known-red")
        @Test
        fun `is not taken for the answer to another caller`() {
            val server =
                serverWithLateCopy(StutteringServer.answer("of caller 1"), StutteringServer.answer("of caller 2"))
            val client = clients.of(endpoint(server.address))
            client.post("/v1/chat/completions", "{}").aggregate().join()

            expectThat(
                client
                    .post("/v1/chat/completions", "{}")
                    .aggregate()
                    .join()
                    .contentUtf8(),
            ).isEqualTo("of caller 2")
        }

        @Test
        fun `can't come from the stand-in engines, which speak HTTP 2`() {
            val engine = EngineStandIn()
            val server = open(StandInServer.start { engine.addTo(it) })
            val protocol =
                Clients.newContextCaptor().use { captor ->
                    clients
                        .of(endpoint(server.hostAndPort))
                        .get("/engine/status")
                        .aggregate()
                        .join()
                    captor
                        .get()
                        .log()
                        .whenComplete()
                        .join()
                        .sessionProtocol()
                }

            expectThat(protocol).isEqualTo(SessionProtocol.H2C)
        }
    }

    @Nested
    inner class `a late copy of a peer's answer` {
        private val keys = PeerKeyRing(listOf(PeerKey("0123456789abcdef")))
        private val transport = open(HttpPeerTransport(keys, 2.seconds))

        private fun signed(
            path: String,
            request: String,
            answer: String,
        ): String {
            val signature = keys.signAnswer(keys.signRequest("/peer/v1/$path", request), answer)
            return StutteringServer.answer(answer, header = "x-almondhaven-signature: $signature")
        }

        @Test
        fun `to another message is rejected by its signature`() {
            val server = serverWithLateCopy(signed("a", "{}", "to a"), signed("b", "{}", "to b"))
            val peer = Member(RouterId("peer"), FailureDomainId("west"), server.address)

            expectThat(transport.post(peer, "a", "{}").join()).isEqualTo("to a".right())
            expectThat(transport.post(peer, "b", "{}").join().getOrNull()).isEqualTo(null)
        }

        @Tag("known-red")
        @Test
        fun `to an equal message is not taken for a newer answer`() {
            val server = serverWithLateCopy(signed("a", "{}", "older"), signed("a", "{}", "newer"))
            val peer = Member(RouterId("peer"), FailureDomainId("west"), server.address)

            expectThat(transport.post(peer, "a", "{}").join()).isEqualTo("older".right())
            expectThat(transport.post(peer, "a", "{}").join()).isEqualTo("newer".right())
        }
    }

    private companion object {
        const val COPY_DELAY_MILLIS = 20L

        /** Enough calls that the client comes back to a connection, whichever of its event loops take them. */
        val NAMES = (1..40).map { "object-$it" }
    }
}
