package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import io.netty.channel.embedded.EmbeddedChannel
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class KindWatcherTest {
    private val channel = EmbeddedChannel()
    private val store = ScriptedStoreClient()
    private val seen = ArrayList<String>()
    private val random = RandomSource.SPLIT_MIX_64.create(1L)
    private val watch =
        KindWatcher(StoreKind.EVACUATIONS, store, channel.eventLoop(), random, 150.milliseconds, ::listed, ::changed)

    private fun listed(entries: List<StoredObject>) {
        seen += entries.map { "list ${it.name}" }
    }

    private fun changed(changes: List<StoreChange>) {
        seen += changes.map { "change ${it.entry.name} removed=${it.removed}" }
    }

    private fun stored(name: String) =
        """{"metadata":{"name":"$name","revision":3,"created":2},"spec":{},"status":null}"""

    private fun answer(
        call: Int,
        body: String,
        status: Int = 200,
    ): Unit = store.calls[call].onAnswer(StoreResponse(status, body))

    private fun pass(milliseconds: Long) {
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private val list = """{"items":[${stored("east")}],"truncated":false,"currentRev":7}"""

    @Nested
    inner class `a watch` {
        @Test
        fun `goes on from the list's revision and then from its own`() {
            watch.start()
            answer(0, list)
            answer(1, """{"events":[{"removed":true,"object":${stored("east")}}],"currentRev":9}""")
            pass(200)

            expectThat(store.calls.map { it.path }).isEqualTo(
                listOf(
                    "/objects/evacuations",
                    "/objects/evacuations?watch=7&waitMs=28000",
                    "/objects/evacuations?watch=9&waitMs=28000",
                ),
            )
            expectThat(seen.toList()).isEqualTo(listOf("list east", "change east removed=true"))
        }

        @Test
        fun `lists anew when the history is gone`() {
            watch.start()
            answer(0, list)
            answer(1, "", status = 410)

            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations")
        }

        @Test
        fun `is made again when the store comes back, since the old one may never be answered`() {
            watch.start()
            answer(0, list)
            store.regained()

            expectThat(store.calls.map { it.path to it.givenUp }).isEqualTo(
                listOf(
                    "/objects/evacuations" to false,
                    "/objects/evacuations?watch=7&waitMs=28000" to true,
                    "/objects/evacuations?watch=7&waitMs=28000" to false,
                ),
            )
        }

        @Test
        fun `that fails is made again after a pause`() {
            watch.start()
            answer(0, list)
            store.calls[1].onAnswer(null)
            pass(0)
            expectThat(store.calls.size).isEqualTo(2)
            pass(600)
            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=7&waitMs=28000")
        }
    }
}
