package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.peer.SessionAnnouncement
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.RollOutOrder
import dev.almondhaven.traffic.RollOutState
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.embedded.EmbeddedChannel
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RollOutControllerTest {
    private var now = 0L
    private val announced = ArrayList<SessionAnnouncement>()
    private val rollOuts =
        RollOutController(
            TrafficBounds(8.seconds, 2.seconds, 5.seconds, 0.9, 50.0, 10.seconds, sessionIdleTimeout = 5.seconds),
            ScriptedStoreClient(),
            EmbeddedChannel().eventLoop(),
            NanoClock { now },
            RandomSource.SPLIT_MIX_64.create(1L),
            { announced += it },
        )
    private val service = ServiceId("engines")
    private val old = VersionConstraint.Except("v2")
    private val new = VersionConstraint.Only("v2")

    private fun versionFor(
        session: String,
        millis: Long,
    ): VersionConstraint {
        now = millis.milliseconds.inWholeNanoseconds
        return rollOuts.versionFor(service, session, "request")
    }

    private fun runSession(
        session: String,
        version: String,
        from: Long,
        to: Long,
    ) {
        now = from.milliseconds.inWholeNanoseconds
        rollOuts.runStarted(service, session, version)
        now = to.milliseconds.inWholeNanoseconds
        rollOuts.runEnded(service, session, version)
    }

    private fun startRollOut(): Unit =
        rollOuts.applyOrder(
            RollOutOrder(service, "v2", 24.seconds, RollOutState.RUNNING, revision = 1, creationRevision = 1),
        )

    /** A session that is in the trial share from the start of a roll-out. */
    private fun trialSession(): String =
        generateSequence(0) { it + 1 }.map { "session-$it" }.first { versionFor(it, 0) == new }

    @Nested
    inner class `in the first half of a roll-out a session in the trial share` {
        @Test
        fun `stays on the old version if that ran it, as before the new endpoints are listed`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v1", from = 100, to = 900)

            expectThat(listOf(1_000L, 5_800L, 6_000L).map { versionFor(session, it) }).isEqualTo(listOf(old, old, new))
        }

        @Test
        fun `stays on the old version if its last run began long ago and has just ended`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v1", from = 0, to = 6_000)

            expectThat(versionFor(session, 10_000)).isEqualTo(old)
        }

        @Test
        fun `stays on the old version if it ran before the order`() {
            startRollOut()
            val session = trialSession()
            rollOuts.withdrawOrder(service)
            runSession(session, "v1", from = 0, to = 100)
            startRollOut()

            expectThat(versionFor(session, 1_000)).isEqualTo(old)
        }

        @Test
        fun `stays on the new version if that ran it`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v2", from = 100, to = 900)

            expectThat(versionFor(session, 1_000)).isEqualTo(new)
        }
    }

    @Nested
    inner class `a router that runs a session on the old version in the first half` {
        @Test
        fun `tells the other routers, which keep the session there`() {
            startRollOut()
            val session = trialSession()
            rollOuts.applyAnnouncement(SessionAnnouncement("engines", session, "v1", running = false))

            expectThat(listOf(4_900L, 5_000L).map { versionFor(session, it) }).isEqualTo(listOf(old, new))
        }

        @Test
        fun `announces it at the order for earlier runs, and at the start and end of later runs`() {
            startRollOut()
            val session = trialSession()
            rollOuts.withdrawOrder(service)
            runSession(session, "v1", from = 0, to = 100)
            runSession("other", "v1", from = 0, to = 100)
            startRollOut()
            runSession(session, "v1", from = 200, to = 300)
            runSession(session, "v2", from = 6_000, to = 6_100)

            expectThat(announced.toList()).isEqualTo(
                listOf(false, true, false).map { SessionAnnouncement("engines", session, "v1", running = it) },
            )
        }
    }

    @Nested
    inner class `in the second half a session` {
        @Test
        fun `moves to the new version whichever version ran it`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v1", from = 12_000, to = 12_400)

            expectThat(versionFor(session, 12_600)).isEqualTo(new)
        }
    }
}
