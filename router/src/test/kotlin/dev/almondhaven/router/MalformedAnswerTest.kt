package dev.almondhaven.router

import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
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
import dev.almondhaven.store.HttpObjectStore
import dev.almondhaven.store.ObjectKey
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.URI
import java.util.concurrent.CompletionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against MIXED: answers over HTTP/1.1 that are none, and that the clients of the product took for answers. */
class MalformedAnswerTest {
    private val opened = ArrayList<AutoCloseable>()
    private val workers = EndpointClients.newWorkers(threads = 1)
    private val clients = open(EndpointClients(workers, 1.seconds, 1.seconds))

    @AfterEach
    fun close() {
        opened.forEach { it.close() }
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun <T : AutoCloseable> open(resource: T): T = resource.also { opened += it }

    private fun serverOf(answer: String): StutteringServer = open(StutteringServer { it.write(answer) })

    /** The status and body of what an engine's client takes for the answer; null if it takes none. */
    private fun answerOf(address: String): Pair<String, String>? {
        val endpoint =
            Endpoint(EndpointId("e"), FailureDomainId("west"), address, listOf(ModelVersionId.parse("slate@1")))
        val options = RequestOptions.builder().responseTimeoutMillis(TIMEOUT_MILLIS).build()
        val response = clients.of(endpoint).execute(HttpRequest.of(HttpMethod.POST, "/stock"), options)
        return try {
            response.aggregate().join().let { it.status().codeAsText() to it.contentUtf8() }
        } catch (_: CompletionException) {
            null
        }
    }

    private fun answer(
        statusLine: String = "HTTP/1.1 200 OK",
        vararg fields: String = arrayOf("Content-Length: 6"),
    ): String = (listOf(statusLine) + fields).joinToString("") { "$it\r\n" } + "\r\nbooked"

    @Nested
    inner class `an engine's answer` {
        @Test
        fun `is refused if its status line is none`() {
            val codes = listOf("000", "099", "600", "999", "20", "2000", "0200", "+200")
            val answers = codes.associateWith { answerOf(serverOf(answer("HTTP/1.1 $it OK")).address) }

            expectThat(answers).isEqualTo(codes.associateWith { null })
        }

        @Test
        fun `is refused if its head holds a malformed line`() {
            val lines =
                listOf("X Note: a", "X-Note : a", "X-Note\t: a", "X-No\u0001te: a", "X-Note", "Content-Length : 2")
            val answers =
                lines.associateWith { line ->
                    answerOf(serverOf(answer(fields = arrayOf(line, "Content-Length: 6"))).address)
                }

            expectThat(answers).isEqualTo(lines.associateWith { null })
        }

        @Test
        fun `is refused if a malformed line gives its length`() {
            val lines = listOf("Content-Length : 2", "Content-Length 2", "Transfer-Encoding : chunked")
            val answers = lines.associateWith { line -> answerOf(serverOf(answer(fields = arrayOf(line))).address) }

            expectThat(answers).isEqualTo(lines.associateWith { null })
        }

        @Test
        fun `is refused if it is not the first one over its connection`() {
            val server =
                open(
                    StutteringServer {
                        it.write(
                            if (it.number ==
                                0
                            ) {
                                answer()
                            } else {
                                answer("HTTP/1.1 000 OK")
                            },
                        )
                    },
                )

            expectThat(List(2) { answerOf(server.address) }).isEqualTo(listOf("200" to "booked", null))
        }

        @Test
        fun `is passed on if it is a sound one, behind interim ones and in chunks too`() {
            val sound =
                listOf(
                    answer(),
                    "HTTP/1.1 100 Continue\r\n\r\n" + answer(),
                    "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n",
                )
            val server = open(StutteringServer { it.write(sound[it.number]) })

            expectThat(sound.map { answerOf(server.address) }).isEqualTo(sound.map { "200" to "booked" })
        }

        @Test
        fun `is passed on if it ends with its connection`() {
            val server =
                open(
                    StutteringServer {
                        it.write(answer(fields = arrayOf("Content-Type: text/plain")))
                        it.close()
                    },
                )

            expectThat(answerOf(server.address)).isEqualTo("200" to "booked")
        }
    }

    @Nested
    inner class `the answer of another server` {
        private val malformed = answer(fields = arrayOf("ETag: \"1\"", "Content-Length : 2"))

        @Test
        fun `is refused by the client of the object store`() {
            val store = HttpObjectStore(URI("http://${serverOf(malformed).address}"), 1.seconds)

            expectThat(store.get(ObjectKey("a")).getOrNull()?.value).isEqualTo(null)
        }

        @Test
        fun `is refused by the client of the peers`() {
            val keys = PeerKeyRing(listOf(PeerKey("0123456789abcdef")))
            val signature = keys.signAnswer(keys.signRequest("/peer/v1/a", "{}"), "bo")
            val signed = answer(fields = arrayOf("x-almondhaven-signature: $signature", "Content-Length : 2"))
            val peer = Member(RouterId("peer"), FailureDomainId("west"), serverOf(signed).address)

            expectThat(
                open(HttpPeerTransport(keys, 2.seconds)).post(peer, "a", "{}").join().getOrNull(),
            ).isEqualTo(null)
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
    }
}
