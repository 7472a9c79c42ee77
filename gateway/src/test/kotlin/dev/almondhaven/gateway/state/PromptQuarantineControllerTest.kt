package dev.almondhaven.gateway.state

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.traffic.EndpointView
import dev.almondhaven.decision.traffic.PrefillSpeed
import dev.almondhaven.decision.traffic.PromptAdmission
import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.gateway.peer.CrashAnnouncement
import dev.almondhaven.gateway.peer.PromptAnnouncement
import dev.almondhaven.gateway.peer.QuarantineAnnouncement
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.traffic.EndpointListing
import io.netty.channel.embedded.EmbeddedChannel
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PromptQuarantineControllerTest {
    private var now = 0L
    private val announced = ArrayList<PromptAnnouncement>()
    private val store = ScriptedStoreClient()
    private val channel = EmbeddedChannel()
    private val endpoint =
        EndpointHandle(
            EndpointView(
                EndpointListing(
                    EndpointId("e-1"),
                    ServiceId("engines"),
                    "127.0.0.1:1",
                    FailureDomainId("here"),
                    "v1",
                    8,
                    false,
                    Duration.ZERO,
                    1,
                ),
                EjectionGroup(1.0),
                1_000,
                PrefillSpeed(),
                0,
            ),
            ConnectionPool(channel.eventLoop(), "127.0.0.1:1"),
        )
    private val controller =
        PromptQuarantineController(
            "router-0",
            store,
            channel.eventLoop(),
            NanoClock { now },
            RandomSource.SPLIT_MIX_64.create(1L),
            { announced += it },
            { 5 },
            { id -> endpoint.takeIf { id.value == "e-1" } },
        )

    private fun advance(duration: Duration) {
        now += duration.inWholeNanoseconds
        channel.advanceTimeBy(duration.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun announceCrash(
        endpoint: String,
        request: String,
        vararg parts: String,
    ): Unit =
        controller.applyAnnouncement(
            PromptAnnouncement(crashes = listOf(CrashAnnouncement(endpoint, 1, request, parts.toList(), true))),
        )

    private fun admission(vararg parts: String) = controller.admission("r-9", parts.toList())

    private fun stored(
        name: String,
        remaining: Duration,
        revision: Int = 1,
    ) = """{"metadata":{"name":"$name","revision":$revision},"spec":{"parts":["$name"],
        "remainingMillis":${remaining.inWholeMilliseconds}}}"""

    private fun change(
        entry: String,
        removed: Boolean,
    ): Unit =
        StoreCall
            .changes(
                StoreKind.PROMPT_QUARANTINES,
                """{"events":[{"object":$entry,"removed":$removed}],"currentRev":2}""",
            )!!
            .changed
            .let(controller::updateStored)

    private fun list(entry: String): Unit =
        controller.replaceStored(listOf(StoreCall.entry(StoreKind.PROMPT_QUARANTINES, entry)!!))

    private fun crashTwice() {
        announceCrash("e-2", "r-1", "deadly")
        advance(300.milliseconds)
        announceCrash("e-3", "r-1", "deadly")
        advance(20.milliseconds)
    }

    @Nested
    inner class `a quarantine` {
        @Test
        fun `follows from the crashes that other routers announce`() {
            crashTwice()
            expectThat(admission("deadly")).isEqualTo(PromptAdmission.Quarantined(setOf("deadly"), 10.minutes))
        }

        @Test
        fun `is stored by another router if the one that found it does not`() {
            crashTwice()
            expectThat(store.calls).isEmpty()
            advance(2.seconds)
            expectThat(store.calls.map { it.path }).isEqualTo(listOf("/objects/almondhaven-prompt-quarantines"))
        }

        @Test
        fun `is stored until the store has taken it`() {
            crashTwice()
            advance(2.seconds)
            store.calls.single().onResponse(null)
            advance(1.seconds)
            expectThat(store.calls.size).isEqualTo(2)
            store.calls.last().onResponse(StoreResponse(201, ""))
            advance(10.seconds)
            expectThat(store.calls.size).isEqualTo(2)
        }

        @Test
        fun `that is stored already is not written again`() {
            crashTwice()
            change(stored("deadly", 1.minutes), removed = false)
            advance(2.seconds)
            expectThat(store.calls).isEmpty()
        }

        @Test
        fun `replaces an entry of the same parts that has ended`() {
            list(stored("deadly", 1.minutes))
            advance(61.seconds)
            crashTwice()
            advance(2.seconds)
            expectThat(store.calls.last().path).isEqualTo("/objects/almondhaven-prompt-quarantines/deadly")
            change(stored("deadly", 1.minutes), removed = true)
            advance(2.seconds)
            expectThat(store.calls.last().path).isEqualTo("/objects/almondhaven-prompt-quarantines")
        }

        @Test
        fun `of the store binds a router that has just started, and ends when its entry is deleted`() {
            list(stored("deadly", 1.minutes))
            expectThat(admission("other", "deadly")).isEqualTo(PromptAdmission.Quarantined(setOf("deadly"), 1.minutes))

            change(stored("deadly", 1.minutes), removed = true)
            expectThat(admission("deadly")).isEqualTo(PromptAdmission.Admitted)
        }

        /** Guards against a router whose time of day has jumped, which took a quarantine in force for one that had ended. */
        @Test
        fun `of the store binds for all of its time on the monotonic clock, and is deleted then`() {
            list(stored("deadly", 10.minutes))
            advance(9.minutes)
            val during = admission("deadly")
            val early = store.calls.size
            advance(3.minutes)

            expectThat(during).isEqualTo(PromptAdmission.Quarantined(setOf("deadly"), 1.minutes))
            expectThat(early).isEqualTo(0)
            expectThat(admission("deadly")).isEqualTo(PromptAdmission.Admitted)
            expectThat(store.calls.map { it.path }).isEqualTo(listOf("/objects/almondhaven-prompt-quarantines/deadly"))
        }

        @Test
        fun `of the store is not prolonged when it is listed again, but by a new entry`() {
            list(stored("deadly", 1.minutes))
            advance(50.seconds)
            list(stored("deadly", 1.minutes))
            val listedAgain = admission("deadly")
            advance(11.seconds)
            list(stored("deadly", 1.minutes, revision = 2))

            expectThat(listedAgain).isEqualTo(PromptAdmission.Quarantined(setOf("deadly"), 10.seconds))
            expectThat(admission("deadly")).isEqualTo(PromptAdmission.Quarantined(setOf("deadly"), 1.minutes))
        }

        @Test
        fun `is announced to a router that reports a crash without knowing it`() {
            crashTwice()
            announced.clear()
            announceCrash("e-4", "r-2", "deadly")
            expectThat(announced.flatMap { it.quarantines })
                .isEqualTo(listOf(QuarantineAnnouncement(listOf("deadly"), 600_000)))
        }

        @Test
        fun `ends attempts in flight`() {
            var ended = 0
            controller.onQuarantine = { ended++ }
            crashTwice()
            controller.applyAnnouncement(
                PromptAnnouncement(quarantines = listOf(QuarantineAnnouncement(listOf("other"), 60_000))),
            )
            expectThat(ended).isEqualTo(2)
        }
    }

    @Nested
    inner class `a router` {
        @Test
        fun `tells the others of answers to the parts that they suspect`() {
            controller.recordAnswer(listOf("sound"))
            announceCrash("e-2", "r-1", "sound", "unknown")
            expectThat(announced.toList()).isEqualTo(listOf(PromptAnnouncement(answeredParts = listOf("sound"))))
        }

        @Test
        fun `reports the attempts that it cancelled at an endpoint whose crash others announce`() {
            endpoint.recordCancelled(CancelledAttempt("r-5", listOf("deadly"), true, now))
            advance(100.milliseconds)
            announceCrash("e-1", "r-1", "sound")
            val reports = announced.flatMap { it.crashes }.distinct()
            expectThat(reports).isEqualTo(listOf(CrashAnnouncement("e-1", 1, "r-5", listOf("deadly"), true)))
        }

        @Test
        fun `does not report attempts that it cancelled long before the crash`() {
            endpoint.recordCancelled(CancelledAttempt("r-5", listOf("deadly"), true, now))
            advance(1.seconds)
            announceCrash("e-1", "r-1", "sound")
            expectThat(announced.flatMap { it.crashes }).isEmpty()
        }

        @Test
        fun `ignores announcements of too many parts`() {
            val parts = List(1_000) { "p-$it" }
            controller.applyAnnouncement(
                PromptAnnouncement(quarantines = listOf(QuarantineAnnouncement(parts, 60_000))),
            )
            expectThat(controller.admission("r-9", parts)).isEqualTo(PromptAdmission.Admitted)
        }
    }
}
