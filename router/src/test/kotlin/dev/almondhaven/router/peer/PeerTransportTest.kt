package dev.almondhaven.router.peer

import arrow.core.left
import arrow.core.right
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.router.settings.PeerSettings
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PeerTransportTest {
    private val key = PeerKey("0123456789abcdef")
    private val foreignKey = PeerKey("fedcba9876543210")
    private val receiver = open(key)
    private val sender = open(key)
    private val senderWithForeignKey = open(foreignKey)

    init {
        receiver.handlers.register("echo") { it }
        receiver.handlers.register("long") { "x".repeat(100_000) }
        receiver.handlers.register("rejecting") { throw IllegalArgumentException("unreadable") }
    }

    private fun open(key: PeerKey): PeerNetwork =
        PeerNetwork.open(PeerSettings("127.0.0.1:0", listOf(key)), FailureDomainId("west"))

    @AfterAll
    fun closeNetworks() {
        listOf(receiver, sender, senderWithForeignKey).forEach { it.close() }
    }

    private fun PeerNetwork.post(
        path: String,
        body: String = "{}",
        to: Member = receiver.self,
    ) = transport.post(to, path, body).join()

    @Nested
    inner class `a message` {
        @Test
        fun `is handled by the handler of its path`() {
            expectThat(sender.post("echo", """{"a":"č"}""")).isEqualTo("""{"a":"č"}""".right())
        }

        @Test
        fun `may have a long response`() {
            expectThat(sender.post("long")).isEqualTo("x".repeat(100_000).right())
        }

        @Test
        fun `that can't be handled is rejected with an HTTP status`() {
            val results = listOf(sender.post("nowhere"), sender.post("rejecting"), senderWithForeignKey.post("echo"))

            expectThat(results)
                .isEqualTo(listOf(404, 400, 401).map { PeerError.Rejected(it).left() })
        }

        @Test
        fun `to an unreachable address fails as not sent`() {
            val unreachable = Member(RouterId("unreachable"), FailureDomainId("west"), "127.0.0.1:1")

            expectThat(sender.post("echo", to = unreachable).leftOrNull()).isA<PeerError.NotSent>()
        }
    }
}
