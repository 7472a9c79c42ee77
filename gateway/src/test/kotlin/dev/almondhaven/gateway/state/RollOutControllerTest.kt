package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.peer.CanaryAnnouncement
import dev.almondhaven.gateway.peer.RollOutAnnouncer
import dev.almondhaven.gateway.peer.RollOutStatement
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
import strikt.assertions.isFalse
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RollOutControllerTest {
    private var now = 0L
    private val announced = ArrayList<SessionAnnouncement>()
    private val canaries = ArrayList<CanaryAnnouncement>()
    private val asked = ArrayList<RollOutStatement>()
    private val answered = ArrayList<Pair<RollOutStatement, List<SessionAnnouncement>>>()
    private val announcer =
        object : RollOutAnnouncer {
            override fun announceSession(announcement: SessionAnnouncement) {
                announced += announcement
            }

            override fun announceCanary(
                service: String,
                announcements: List<CanaryAnnouncement>,
                rejected: Boolean,
            ) {
                canaries += announcements
            }

            override fun askRollOut(statement: RollOutStatement) {
                asked += statement
            }

            override fun answerRollOut(
                address: InetSocketAddress,
                statement: RollOutStatement,
                sessions: List<SessionAnnouncement>,
            ) {
                answered += statement to sessions
            }
        }
    private val store = ScriptedStoreClient()
    private val channel = EmbeddedChannel()
    private val rollOuts =
        RollOutController(
            "router-0",
            TrafficBounds(8.seconds, 2.seconds, 5.seconds, 0.9, 50.0, 10.seconds, sessionIdleTimeout = 5.seconds),
            store,
            channel.eventLoop(),
            NanoClock { now },
            RandomSource.SPLIT_MIX_64.create(1L),
            announcer,
            { 37 },
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
        generateSequence(0) { it + 1 }.map { "session-$it" }.first { versionFor(it, 500) == new }.also { now = 0 }

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
    inner class `a router that runs a session of the trial share in the first half` {
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
            runSession(session, "v2", from = 12_600, to = 12_700)

            expectThat(announced.toList()).isEqualTo(
                listOf(false, true, false).map { SessionAnnouncement("engines", session, "v1", running = it) } +
                    listOf(true, false).map { SessionAnnouncement("engines", session, "v2", running = it) },
            )
        }
    }

    @Nested
    inner class `a bad version in a fleet, of which each router sees a single failure,` {
        private val rejected = VersionConstraint.Except("v2", strict = true)

        private fun failureAt(
            router: String,
            rejected: Boolean = false,
            order: Long = 1,
        ) = CanaryAnnouncement("engines", order, router, "draft", 8, 0, 1, 1, rejected)

        private fun advance(millis: Long) {
            channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }

        @Test
        fun `is rejected by the router that pools what the others announce`() {
            startRollOut()
            val session = trialSession()
            val before = versionFor(session, 1_000)
            rollOuts.recordResponse(service, "v2", "draft", failed = true)
            (1..4).forEach { rollOuts.applyCanary(failureAt("router-$it")) }
            advance(0)

            expectThat(listOf(before, versionFor(session, 1_000))).isEqualTo(listOf(new, rejected))
            expectThat(store.calls.map { it.path }).isEqualTo(listOf("/objects/rollouts/engines/status"))
            expectThat(canaries.toList()).isEqualTo(
                listOf(false, true).map {
                    CanaryAnnouncement("engines", 1, "router-0", "draft", 0, 0, 1, 1, rejected = it)
                },
            )
        }

        @Test
        fun `is left at once by a router that hears of it, which stores it only if the other one does not`() {
            startRollOut()
            val session = trialSession()
            rollOuts.applyCanary(failureAt("router-1", rejected = true))
            val heard = versionFor(session, 1_000)
            advance(700)
            val early = store.calls.size
            advance(600)

            expectThat(heard).isEqualTo(rejected)
            expectThat(listOf(early, store.calls.size)).isEqualTo(listOf(0, 1))
        }

        @Test
        fun `is not judged by announcements about an earlier order or with impossible counts`() {
            startRollOut()
            val session = trialSession()
            rollOuts.applyCanary(failureAt("router-1", rejected = true, order = 0))
            (1..9).forEach { rollOuts.applyCanary(failureAt("router-$it").copy(canaryFailures = 2, rejected = true)) }

            expectThat(versionFor(session, 1_000)).isEqualTo(new)
        }

        @Test
        fun `is announced with its answers, at most once an interval`() {
            rollOuts.start()
            startRollOut()
            repeat(5) { rollOuts.recordResponse(service, "v2", "draft", failed = false) }
            advance(200)
            advance(200)

            expectThat(canaries.toList())
                .isEqualTo(listOf(CanaryAnnouncement("engines", 1, "router-0", "draft", 0, 0, 5, 0)))
        }

        /** Guards against a router that pools the counts and has forgotten them because it was restarted. */
        @Test
        fun `is announced again after a while, though it has not answered again`() {
            rollOuts.start()
            startRollOut()
            rollOuts.recordResponse(service, "v2", "draft", failed = false)
            advance(200)
            now = 2_000.milliseconds.inWholeNanoseconds
            advance(200)

            expectThat(canaries.toList())
                .isEqualTo(List(2) { CanaryAnnouncement("engines", 1, "router-0", "draft", 0, 0, 1, 0) })
        }

        @Test
        fun `is found if its answers are right but slow`() {
            startRollOut()
            val session = trialSession()

            fun record(
                version: String,
                millis: Double,
            ) {
                rollOuts.recordTime(service, version, TimedWork("draft", "m0", expectedMillis = 50.0), millis)
            }
            repeat(200) { rollOuts.recordResponse(service, "v2", "draft", failed = false) }
            repeat(40) { record("v1", millis = 60.0 + it % 7) }
            repeat(5) { record("v2", millis = 65.0) }
            val before = versionFor(session, 1_000)
            repeat(7) { record("v2", millis = 480.0) }

            expectThat(listOf(before, versionFor(session, 1_000))).isEqualTo(listOf(new, rejected))
        }
    }

    @Nested
    inner class `a router that hears of a roll-out late` {
        private val peer = InetSocketAddress("127.0.0.1", 7000)

        private fun statement(
            elapsedMillis: Long,
            rejected: Boolean = false,
            asks: Boolean = false,
            target: String = "v2",
        ) = RollOutStatement("engines", 1, target, elapsedMillis, rejected, asks)

        @Test
        fun `asks the other routers as soon as it knows them, and follows their time`() {
            startRollOut()
            val early = asked.size
            rollOuts.routersChanged()
            val session = trialSession()
            runSession(session, "v1", from = 0, to = 100)
            rollOuts.applyStatement(statement(13_000), peer)

            expectThat(early).isEqualTo(0)
            expectThat(asked.toList()).isEqualTo(listOf(statement(0, asks = true)))
            expectThat(versionFor(session, 200)).isEqualTo(new)
        }

        @Test
        fun `ignores what is stated about another order, or an impossible time`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v1", from = 0, to = 100)
            rollOuts.applyStatement(statement(13_000, target = "v3"), peer)
            rollOuts.applyStatement(statement(13_000).copy(order = 7), peer)
            listOf(-1L, Long.MAX_VALUE).forEach { rollOuts.applyStatement(statement(it), peer) }

            expectThat(versionFor(session, 200)).isEqualTo(old)
        }

        @Test
        fun `leaves a version that has been found bad`() {
            startRollOut()
            val session = trialSession()
            rollOuts.applyStatement(statement(3_000, rejected = true), peer)

            expectThat(versionFor(session, 100)).isEqualTo(VersionConstraint.Except("v2", strict = true))
        }

        @Test
        fun `is told the time, and on which version the sessions of the trial share run`() {
            startRollOut()
            val session = trialSession()
            runSession(session, "v1", from = 1_000, to = 2_000)
            runSession("other", "v1", from = 1_000, to = 2_000)
            now = 3_000.milliseconds.inWholeNanoseconds
            rollOuts.applyStatement(statement(100, asks = true), peer)

            val announcement = SessionAnnouncement("engines", session, "v1", running = false, idleMillis = 1_000)
            expectThat(answered.toList()).isEqualTo(listOf(statement(3_000) to listOf(announcement)))
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

        /** Guards against a session that goes back at a router whose share is still smaller. */
        @Test
        fun `stays on the new version once that ran it, however small the share is`() {
            startRollOut()
            val session = generateSequence(0) { it + 1 }.map { "session-$it" }.first { versionFor(it, 15_000) == old }
            rollOuts.applyAnnouncement(SessionAnnouncement("engines", session, "v2", running = false))

            expectThat(listOf(15_100L, 19_999L).map { versionFor(session, it) }).isEqualTo(listOf(new, new))
        }
    }

    /** Guards against CONFIG: what fails once on a timer was never done. */
    @Test
    fun `the end of a roll-out whose write fails with an error is written again`() {
        startRollOut()
        rollOuts.start()
        store.isNextCallFailing = true
        val writes =
            listOf(25L, 26L, 27L, 32L, 33L).map { second ->
                now = second.seconds.inWholeNanoseconds
                channel.advanceTimeBy(1, TimeUnit.SECONDS)
                channel.runScheduledPendingTasks()
                store.calls.size
            }

        expectThat(writes).isEqualTo(listOf(0, 0, 0, 1, 1))
        expectThat(store.isNextCallFailing).isFalse()
    }
}
