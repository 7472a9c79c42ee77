package dev.almondhaven.gateway.relay

import dev.almondhaven.decision.distribution.RelayCandidate
import dev.almondhaven.decision.distribution.RelaySelection
import dev.almondhaven.gateway.net.HttpResult
import dev.almondhaven.gateway.state.ConfigurationWatcher
import dev.almondhaven.gateway.state.KindHistory
import dev.almondhaven.gateway.state.KindWatcher
import dev.almondhaven.gateway.state.ScriptedStoreClient
import dev.almondhaven.gateway.state.StoreResponse
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.embedded.EmbeddedChannel
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StateFollowerTest {
    private class Ask(
        val address: String,
        val query: RelayQuery,
        val onResult: (HttpResult) -> Unit,
    )

    private val channel = EmbeddedChannel()
    private val store = ScriptedStoreClient()
    private val asks = ArrayList<Ask>()
    private var millis = 1_000L
    private val clock = NanoClock { millis * 1_000_000 }
    private val seen = ArrayList<String>()
    private val recoveries = ArrayList<Duration>()
    private val bounds = TrafficBounds(8.seconds, 3.seconds, revocation = 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds)
    private val configuration =
        ConfigurationWatcher(
            bounds,
            store,
            channel.eventLoop(),
            clock,
            {
                if (it.revision == FAILING_REVISION) throw OutOfMemoryError("simulated")
                seen += "main ${it.revision}"
            },
            {},
            { millis },
        )
    private val evacuations =
        KindWatcher(
            KindHistory(StoreKind.EVACUATIONS),
            store,
            channel.eventLoop(),
            RandomSource.SPLIT_MIX_64.create(1L),
            150.milliseconds,
            1.seconds,
            { list -> seen += list.map { "list ${it.name}" } },
            { changes -> seen += changes.map { "change ${it.entry.name} removed=${it.removed}" } },
        )
    private val routers =
        (1..9).map {
            RelayCandidate(
                "router-$it",
                "10.0.0.$it:7340",
                FailureDomainId("east"),
                linkMegabits = 100.0 - it,
            )
        }
    private val follower =
        StateFollower(
            RelaySelection(routers.last()),
            { address, query, _, onResult -> asks += Ask(address, query, onResult) },
            configuration,
            listOf(evacuations),
            channel.eventLoop(),
            clock,
            RandomSource.SPLIT_MIX_64.create(1L),
            { true },
            { recoveries += it },
        )

    private fun stored(
        name: String,
        revision: Long,
    ) = """{"metadata":{"name":"$name","revision":$revision},"spec":{},"status":null}"""

    private fun list(vararg entries: String) =
        """{"items":[${entries.joinToString(",")}],"truncated":false,"currentRev":7}"""

    private fun respond(
        path: String,
        body: String,
    ): Unit = store.calls.last { it.path.startsWith(path) }.onResponse(StoreResponse(200, body))

    private fun advance(span: Long) {
        millis += span
        channel.advanceTimeBy(span, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun answer(
        kinds: String = "",
        age: Long = 0,
        held: Long = 0,
        extra: String = "",
    ): Unit =
        asks.last().onResult(
            HttpResult.Response(200, """{"ageMillis":$age,"heldMillis":$held$extra,"kinds":[$kinds]}"""),
        )

    private fun refuse(): Unit = asks.last().onResult(HttpResult.Response(503, "not reading"))

    private fun miss() {
        millis += 1_100
        asks.last().onResult(HttpResult.Failure(sent = true, "no response in time"))
    }

    private fun startAndList() {
        configuration.start()
        respond("/objects/config", list(stored("main", 3)))
        evacuations.start()
        respond("/objects/evacuations", list(stored("west", 5)))
        seen.clear()
        follower.setRouters(routers)
    }

    private fun follow() {
        startAndList()
        answer()
    }

    private fun openCalls() = store.calls.filterNot { it.isCancelled }.map { it.path }

    @Nested
    inner class `a router that another one reads for` {
        @Test
        fun `stops its own watches and makes no call while it follows`() {
            follow()
            val calls = store.calls.size
            repeat(20) {
                advance(800)
                answer(held = 800)
            }

            expectThat(follower.isReading).isFalse()
            expectThat(store.calls).hasSize(calls)
            expectThat(store.calls.filter { "watch=" in it.path }.all { it.isCancelled }).isTrue()
            expectThat(configuration.isFresh).isTrue()
        }

        @Test
        fun `applies what it is told, from its own revision on`() {
            follow()
            val change = """{"removed":true,"object":${stored("west", 9)}}"""
            answer("""{"kind":"EVACUATIONS","revision":9,"changes":[$change]}""")
            answer(
                """{"kind":"CONFIGURATION","revision":11,"changes":[{"removed":false,"object":${stored(
                    "main",
                    11,
                )}}]}""",
            )
            // The next reader knows less: nothing goes back.
            answer("""{"kind":"EVACUATIONS","revision":8,"list":[${stored("west", 5)}],"changes":[]}""")

            expectThat(seen.toList()).isEqualTo(listOf("change west removed=true", "main 11"))
            expectThat(asks.last().query.since)
                .isEqualTo(mapOf(StoreKind.EVACUATIONS to 9L, StoreKind.CONFIGURATION to 11L))
        }

        @Test
        fun `counts the age of its configuration from the reader's own confirmation, however long the answer took`() {
            follow()
            advance(500)
            answer(age = 400, held = 100)

            // Sent at 0 ms, held for 100 ms, confirmed 400 ms before that; the answer arrived at 500 ms.
            expectThat(configuration.confirmationAge()).isEqualTo(500.milliseconds)
            advance(300)
            answer(age = 2_000, held = 300)
            expectThat(configuration.confirmationAge()).isEqualTo(800.milliseconds)
        }

        @Test
        fun `hears of the store's recovery, which lapsed entries wait for`() {
            follow()
            answer(extra = ""","recoveredMillis":250""")
            expectThat(recoveries.toList()).isEqualTo(listOf(250.milliseconds))
        }
    }

    @Nested
    inner class `a reader that is lost` {
        @Test
        fun `is replaced at once by the other one, without a call to the store`() {
            follow()
            val calls = store.calls.size
            val first = asks.last().address
            refuse()

            expectThat(asks.last().address != first).isTrue()
            answer()
            expectThat(follower.isReading).isFalse()
            expectThat(store.calls).hasSize(calls)
        }

        @Test
        fun `together with the others leaves the router reading, from the revision that it knows`() {
            follow()
            answer("""{"kind":"EVACUATIONS","revision":9,"changes":[]}""")
            repeat(2) { miss() }
            expectThat(follower.isReading).isTrue()
            expectThat(openCalls().last()).isEqualTo("/objects/config?watch=7&waitMs=0")

            respond("/objects/config?watch=7&waitMs=0", """{"events":[],"currentRev":9}""")
            expectThat(openCalls().last { "evacuations" in it }).isEqualTo("/objects/evacuations?watch=9&waitMs=28000")
        }

        @Test
        fun `and returns is followed again after a pause`() {
            follow()
            repeat(2) { miss() }
            val asked = asks.size
            advance(5_000)

            expectThat(asks).hasSize(asked + 1)
            answer()
            expectThat(follower.isReading).isFalse()
        }
    }

    @Nested
    inner class `readers whose ports are closed` {
        @Test
        fun `are passed over without a call to the store while another router reads`() {
            follow()
            val calls = store.calls.size
            repeat(3) { asks.last().onResult(HttpResult.Failure(sent = false, "Connection refused")) }
            answer()

            expectThat(follower.isReading).isFalse()
            expectThat(store.calls).hasSize(calls)
        }
    }

    @Nested
    inner class `a reader that is cut off from the store` {
        @Test
        fun `is left when its proof has aged, and a store that is away for all is tested by one call at a time`() {
            follow()
            repeat(4) { answer(age = 2_900) }
            expectThat(follower.isReading).isTrue()
            val before = store.calls.size
            repeat(3) {
                store.isReachable = false
                store.calls.last().onResponse(null)
                advance(300)
            }
            // No watch of the other kinds is started while the store does not answer.
            expectThat(
                store.calls
                    .drop(before)
                    .map { it.path.substringBefore('?') }
                    .distinct(),
            ).isEqualTo(listOf("/objects/config"))
        }
    }

    @Nested
    inner class `an answer that can't be read` {
        @Test
        fun `counts as none`() {
            startAndList()
            asks.last().onResult(HttpResult.Response(200, """{"ageMillis":0,"kinds":[{"kind":"EVACUATIONS"}]}"""))
            expectThat(follower.isReading).isTrue()
            expectThat(openCalls().any { it == "/objects/evacuations?watch=7&waitMs=28000" }).isTrue()
        }
    }

    /** Guards against CONFIG: the series of requests to another router ended with the first answer that couldn't be applied. */
    @Nested
    inner class `an answer that can't be applied` {
        private fun configuration(revision: Long) =
            """{"kind":"CONFIGURATION","revision":$revision,"changes":[{"removed":false,"object":${stored(
                "main",
                revision,
            )}}]}"""

        @Test
        fun `is followed by another request, which asks for all of that kind`() {
            follow()
            answer(configuration(FAILING_REVISION))
            val before = asks.size
            advance(200)

            expectThat(asks.size).isEqualTo(before + 1)
            expectThat(asks.last().query.since[StoreKind.CONFIGURATION]).isEqualTo(0)
        }

        @Test
        fun `leaves the duty sound once the store is read again`() {
            follow()
            answer(configuration(FAILING_REVISION))
            repeat(20) {
                advance(200)
                refuse()
            }
            expectThat(follower.duty.isSound).isTrue()
        }
    }

    private companion object {
        const val FAILING_REVISION = 99L
    }
}
