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

    private fun hear(
        from: String,
        vararg records: MemberRecord,
        incarnation: Long = 0,
    ): MembershipMessage = membership.onProbe(now, MembershipMessage(member(from), incarnation, records.toList()))

    private fun ids(): List<String> = membership.view.members.map { it.id.value }

    /** Lets [span] pass without any answer; returns what was to be sent. */
    private fun silence(span: Duration): List<MembershipAction> {
        val end = now + span.inWholeNanoseconds
        val actions = mutableListOf<MembershipAction>()
        while (now < end) {
            now += 100.milliseconds.inWholeNanoseconds
            actions += membership.tick(now)
        }
        return actions
    }

    @Nested
    inner class `a silent router` {
        @Test
        fun `is probed, probed through others, suspected and at last dropped`() {
            hear("b")
            val sent = silence(1_300.milliseconds)
            expectThat(sent.map { it::class.simpleName }.distinct()).containsExactly("Probe")
            silence(1_500.milliseconds)
            expectThat(membership.suspects).isEqualTo(setOf(RouterId("b")))
            expectThat(ids()).containsExactly("a", "b")
            silence(settings.suspicionTimeout(2) + 1.seconds)

            expectThat(ids()).containsExactly("a")
        }

        @Test
        fun `comes back with a higher incarnation only`() {
            hear("b")
            silence(30.seconds)
            hear("b", incarnation = 0)
            expectThat(ids()).containsExactly("a")
            hear("b", incarnation = 1)

            expectThat(ids()).containsExactly("a", "b")
        }

        @Test
        fun `is told that it is doubted`() {
            hear("b")
            silence(3.seconds)

            expectThat(hear("b").records).containsExactly(MemberRecord(member("b"), 0, MemberState.SUSPECT))
        }
    }

    @Nested
    inner class `this router` {
        @Test
        fun `contradicts what others doubt`() {
            val answer = hear("b", MemberRecord(member("a"), 4, MemberState.DEAD))

            expectThat(answer.incarnation).isEqualTo(5)
        }

        @Test
        fun `looks at addresses outside its view`() {
            membership.setContactAddresses(listOf("10.0.0.9:1"))
            val probes = silence(1.seconds).filterIsInstance<MembershipAction.Probe>()

            expectThat(probes.map { it.address }.distinct()).containsExactly("10.0.0.9:1")
        }

        @Test
        fun `sends messages whose size doesn't depend on the fleet's`() {
            val page = (1..300).map { MemberRecord(member("m$it"), 0) }
            membership.onProbe(now, MembershipMessage(member("b"), 0, page))
            val probes = silence(10.seconds).filterIsInstance<MembershipAction.Probe>()

            expectThat(probes.maxOf { it.message.records.size }).isLessThanOrEqualTo(settings.recordsPerMessage + 1)
        }
    }

    @Nested
    inner class `a router that left` {
        @Test
        fun `stays away whatever late messages say`() {
            hear("b", MemberRecord(member("b"), 0, MemberState.LEFT))
            hear("b", incarnation = 7)

            expectThat(ids()).containsExactly("a")
        }
    }
}
