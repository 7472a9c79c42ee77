package dev.almondhaven.decision.membership

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MembershipTest {
    private val settings = MembershipSettings()
    private val membership = membership("a")
    private var now = 0L

    private fun member(id: String) = Member(RouterId(id), FailureDomainId("west"), "10.0.0.1:$id")

    private fun membership(id: String) =
        Membership(member(id), settings, RandomSource.XO_RO_SHI_RO_128_PP.create(1), now = 0)

    private fun receive(
        from: String,
        vararg records: MemberRecord,
        incarnation: Long = 0,
    ): MembershipMessage = membership.onProbe(now, MembershipMessage(member(from), incarnation, records.toList()))

    private fun ids(): List<String> = membership.view.members.map { it.id.value }

    /** Advances time by [span] without delivering any answer; returns the messages to send. */
    private fun advanceWithoutAnswers(span: Duration): List<MembershipAction> {
        val end = now + span.inWholeNanoseconds
        val actions = mutableListOf<MembershipAction>()
        while (now < end) {
            now += 100.milliseconds.inWholeNanoseconds
            actions += membership.tick(now)
        }
        return actions
    }

    @Nested
    inner class `a router that stopped answering` {
        @Test
        fun `is probed directly, probed indirectly, suspected and finally removed`() {
            receive("b")
            val sent = advanceWithoutAnswers(1_300.milliseconds)
            expectThat(sent.map { it::class.simpleName }.distinct()).containsExactly("Probe")
            advanceWithoutAnswers(1_500.milliseconds)
            expectThat(membership.suspects).isEqualTo(setOf(RouterId("b")))
            expectThat(ids()).containsExactly("a", "b")
            advanceWithoutAnswers(settings.suspicionTimeout(2) + 1.seconds)

            expectThat(ids()).containsExactly("a")
        }

        @Test
        fun `returns only with a higher incarnation`() {
            receive("b")
            advanceWithoutAnswers(30.seconds)
            receive("b", incarnation = 0)
            expectThat(ids()).containsExactly("a")
            receive("b", incarnation = 1)

            expectThat(ids()).containsExactly("a", "b")
        }

        @Test
        fun `is told that it is suspected`() {
            receive("b")
            advanceWithoutAnswers(3.seconds)

            expectThat(receive("b").records).containsExactly(MemberRecord(member("b"), 0, MemberState.SUSPECT))
        }
    }

    @Nested
    inner class `this router` {
        @Test
        fun `refutes records that declare it dead`() {
            val answer = receive("b", MemberRecord(member("a"), 4, MemberState.DEAD))

            expectThat(answer.incarnation).isEqualTo(5)
        }

        @Test
        fun `probes contact addresses outside its view`() {
            membership.setContactAddresses(listOf("10.0.0.9:1"))
            val probes = advanceWithoutAnswers(1.seconds).filterIsInstance<MembershipAction.Probe>()

            expectThat(probes.map { it.address }.distinct()).containsExactly("10.0.0.9:1")
        }

        @Test
        fun `sends messages whose size doesn't depend on the size of the fleet`() {
            val page = (1..300).map { MemberRecord(member("m$it"), 0) }
            membership.onProbe(now, MembershipMessage(member("b"), 0, page))
            val probes = advanceWithoutAnswers(10.seconds).filterIsInstance<MembershipAction.Probe>()

            expectThat(probes.maxOf { it.message.records.size }).isLessThanOrEqualTo(settings.recordsPerMessage + 1)
        }
    }

    @Nested
    inner class `a router that left` {
        @Test
        fun `stays removed despite late messages`() {
            receive("b", MemberRecord(member("b"), 0, MemberState.LEFT))
            receive("b", incarnation = 7)

            expectThat(ids()).containsExactly("a")
        }
    }
}
