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
    private val other = PeerKey("fedcba9876543210")
    private val receiver = open(key)
    private val sender = open(key)
    private val stranger = open(other)

    init {
        receiver.handlers.register("echo") { it }
        receiver.handlers.register("long") { "x".repeat(100_000) }
        receiver.handlers.register("picky") { throw IllegalArgumentException("unreadable") }
    }

    private fun open(key: PeerKey): PeerNetwork =
        PeerNetwork.open(PeerSettings("127.0.0.1:0", listOf(key)), FailureDomainId("west"))

    @AfterAll
    fun stop() {
        listOf(receiver, sender, stranger).forEach { it.close() }
    }

    private fun PeerNetwork.ask(
        path: String,
        body: String = "{}",
        to: Member = receiver.self,
    ) = transport.post(to, path, body).join()

    @Nested
    inner class `a message` {
        @Test
        fun `is answered by the handler of its path`() {
            expectThat(sender.ask("echo", """{"a":"č"}""")).isEqualTo("""{"a":"č"}""".right())
        }

        @Test
        fun `may have a long answer`() {
            expectThat(sender.ask("long")).isEqualTo("x".repeat(100_000).right())
        }

        @Test
        fun `that can't be handled is refused with a status`() {
            val answers = listOf(sender.ask("nowhere"), sender.ask("picky"), stranger.ask("echo"))

            expectThat(answers)
                .isEqualTo(listOf(404, 400, 401).map { PeerError.Rejected(it).left() })
        }

        @Test
        fun `to nobody is known not to be sent`() {
            val nobody = Member(RouterId("nobody"), FailureDomainId("west"), "127.0.0.1:1")

            expectThat(sender.ask("echo", to = nobody).leftOrNull()).isA<PeerError.NotSent>()
        }
    }
}
