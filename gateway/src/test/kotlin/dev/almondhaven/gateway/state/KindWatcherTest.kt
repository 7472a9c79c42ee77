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
    private val watcher =
        KindWatcher(
            KindHistory(StoreKind.EVACUATIONS),
            store,
            channel.eventLoop(),
            random,
            batchDelay = 150.milliseconds,
            catchUpInterval = 1_000.milliseconds,
            ::onList,
            ::onChanges,
        )

    private fun onList(entries: List<StoredObject>) {
        check(entries.none { it.name == "refused" }) { "refused" }
        seen += entries.map { "list ${it.name}" }
    }

    private fun onChanges(changes: List<StoreChange>) {
        if (changes.any { it.entry.name == "failing" }) throw OutOfMemoryError("simulated")
        check(changes.none { it.entry.name == "refused" }) { "refused" }
        seen += changes.map { "change ${it.entry.name} removed=${it.removed}" }
    }

    private fun stored(
        name: String,
        revision: Long = 3,
    ) = """{"metadata":{"name":"$name","revision":$revision,"created":2},"spec":{},"status":null}"""

    private fun respond(
        call: Int,
        body: String,
        status: Int = 200,
    ): Unit = store.calls[call].onResponse(StoreResponse(status, body))

    private fun advance(milliseconds: Long) {
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private val list = """{"items":[${stored("east")}],"truncated":false,"currentRev":7}"""

    @Nested
    inner class `a watch` {
        @Test
        fun `continues from the list's revision and then from its own`() {
            watcher.start()
            respond(0, list)
            respond(1, """{"events":[{"removed":true,"object":${stored("east")}}],"currentRev":9}""")
            advance(200)

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
        fun `lists again when the history is gone`() {
            watcher.start()
            respond(0, list)
            respond(1, "", status = 410)

            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations")
        }

        @Test
        fun `is replaced when the store recovers, since the store may never respond to the old one`() {
            watcher.start()
            respond(0, list)
            store.recover()

            expectThat(store.calls.map { it.path to it.isCancelled }).isEqualTo(
                listOf(
                    "/objects/evacuations" to false,
                    "/objects/evacuations?watch=7&waitMs=28000" to true,
                    "/objects/evacuations?watch=7&waitMs=28000" to false,
                ),
            )
        }

        @Test
        fun `goes on when what it returned or the list before can't be applied`() {
            watcher.start()
            runCatching { respond(0, """{"items":[${stored("refused")}],"truncated":false,"currentRev":7}""") }
            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=7&waitMs=28000")

            val change = """{"events":[{"removed":false,"object":${stored("refused")}}],"currentRev":9}"""
            runCatching { respond(store.calls.lastIndex, change) }
            advance(200)
            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=9&waitMs=28000")
        }

        @Test
        fun `that returns only what can't be read goes on after a pause`() {
            watcher.start()
            respond(0, list)
            val odd = """{"object":7,"removed":[]},{"removed":true},7,{"object":{"metadata":{"name":{}}}}"""
            respond(1, """{"events":[$odd],"currentRev":9}""")
            expectThat(store.calls.size).isEqualTo(2)
            advance(200)
            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=9&waitMs=28000")
        }

        @Test
        fun `that fails is repeated after a delay`() {
            watcher.start()
            respond(0, list)
            store.calls[1].onResponse(null)
            advance(0)
            expectThat(store.calls.size).isEqualTo(2)
            advance(600)
            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=7&waitMs=28000")
        }
    }

    /** Guards against DRAIN: an OutOfMemoryError while changes were applied ended the series of watches for good. */
    @Nested
    inner class `a step that fails with an error` {
        private val failing = """{"events":[{"removed":false,"object":${stored("failing", 9)}}],"currentRev":9}"""

        private fun startAndFail() {
            watcher.start()
            respond(0, list)
            runCatching { respond(1, failing) }
        }

        @Test
        fun `is followed by a list, and that by a watch`() {
            startAndFail()
            advance(200)
            respond(2, list.replace("\"currentRev\":7", "\"currentRev\":9"))

            expectThat(store.calls.drop(2).map { it.path })
                .isEqualTo(listOf("/objects/evacuations", "/objects/evacuations?watch=9&waitMs=28000"))
        }

        @Test
        fun `is followed by no call while another router passes the changes on`() {
            startAndFail()
            watcher.pause()
            advance(5_000)

            expectThat(store.calls.size).isEqualTo(2)
        }

        @Test
        fun `leaves a lost watch to be found later`() {
            watcher.start()
            respond(0, list)
            watcher.catchUp(9)
            runCatching { respond(2, failing) }
            advance(200)
            respond(3, list)
            watcher.catchUp(9)

            expectThat(store.calls.drop(4).map { it.path })
                .isEqualTo(listOf("/objects/evacuations?watch=7&waitMs=28000", "/objects/evacuations?watch=7&waitMs=0"))
        }
    }

    /** Guards against DRAIN: a router missed what changed on the first page of a list before it had read the last one. */
    @Nested
    inner class `a list of several pages` {
        private val firstPage = """{"items":[${stored("east")}],"truncated":true,"currentRev":7}"""

        private fun lastPage(revision: Long) =
            """{"items":[${stored("west", 8)}],"truncated":false,"currentRev":$revision}"""

        private fun startAndList() {
            watcher.start()
            respond(0, firstPage)
            respond(1, lastPage(9))
        }

        @Test
        fun `is watched from the revision of its first page`() {
            startAndList()

            expectThat(store.calls.map { it.path }).isEqualTo(
                listOf(
                    "/objects/evacuations",
                    "/objects/evacuations?after=east",
                    "/objects/evacuations?watch=7&waitMs=28000",
                ),
            )
        }

        @Test
        fun `is followed by what changed on its first page, and by nothing that its last page held already`() {
            startAndList()
            val events =
                listOf("west" to 8L, "east" to 9L).joinToString(",") { (name, revision) ->
                    """{"removed":false,"object":${stored(name, revision)}}"""
                }
            respond(2, """{"events":[$events],"currentRev":9}""")

            expectThat(seen.toList()).isEqualTo(listOf("list east", "list west", "change east removed=false"))
        }

        @Test
        fun `begins anew if a page fails, and is watched from its new first page`() {
            watcher.start()
            respond(0, firstPage)
            store.calls[1].onResponse(null)
            advance(600)
            respond(2, firstPage.replace("\"currentRev\":7", "\"currentRev\":8"))
            respond(3, lastPage(9))

            expectThat(store.calls.last().path).isEqualTo("/objects/evacuations?watch=8&waitMs=28000")
            expectThat(seen.toList()).isEqualTo(listOf("list east", "list west"))
        }

        @Test
        fun `is not read on while another router passes the changes on`() {
            watcher.start()
            watcher.pause()
            respond(0, firstPage)

            expectThat(store.calls.size).isEqualTo(1)
        }
    }

    /** Guards against DRAIN and EVAC: a watch that was sent into a silence of the store hung for 29.5 s. */
    @Nested
    inner class `a watch that the store may never have received` {
        private val check = "/objects/evacuations?watch=7&waitMs=0"
        private val change = """{"events":[{"removed":false,"object":${stored("west")}}],"currentRev":9}"""

        private fun unchanged(revision: Long) = """{"events":[],"currentRev":$revision}"""

        private fun paths() = store.calls.drop(2).map { it.path }

        private fun startAndHearOf(revision: Long) {
            watcher.start()
            respond(0, list)
            watcher.catchUp(revision)
        }

        @Test
        fun `is checked when the store is further on, and replaced if it has missed a change`() {
            startAndHearOf(9)
            respond(2, change)
            advance(200)

            expectThat(paths()).isEqualTo(listOf(check, "/objects/evacuations?watch=9&waitMs=28000"))
            expectThat(store.calls[1].isCancelled).isEqualTo(true)
            expectThat(seen.toList()).isEqualTo(listOf("list east", "change west removed=false"))
        }

        @Test
        fun `is kept if the change was of another kind, and not checked again for it`() {
            startAndHearOf(9)
            respond(2, unchanged(9))
            advance(1_200)
            watcher.catchUp(9)

            expectThat(paths()).isEqualTo(listOf(check))
            expectThat(store.calls[1].isCancelled).isEqualTo(false)
        }

        @Test
        fun `is not checked while the store is no further on`() {
            startAndHearOf(7)

            expectThat(paths()).isEqualTo(emptyList())
        }

        @Test
        fun `is checked again after the interval if the store went on meanwhile`() {
            startAndHearOf(9)
            respond(2, unchanged(9))
            watcher.catchUp(10)
            expectThat(paths()).isEqualTo(listOf(check))
            advance(1_200)

            expectThat(paths()).isEqualTo(listOf(check, check))
        }

        @Test
        fun `is checked again if the check is lost too`() {
            startAndHearOf(9)
            store.calls[2].onResponse(null)
            advance(1_200)

            expectThat(paths()).isEqualTo(listOf(check, check))
        }

        @Test
        fun `is replaced by a list if its history is gone`() {
            startAndHearOf(9)
            respond(2, "{}", status = 410)

            expectThat(paths()).isEqualTo(listOf(check, "/objects/evacuations"))
            expectThat(store.calls[1].isCancelled).isEqualTo(true)
        }

        @Test
        fun `applies a change once if it responds before the check does`() {
            startAndHearOf(9)
            respond(1, change)
            respond(2, change)
            advance(200)

            expectThat(seen.toList()).isEqualTo(listOf("list east", "change west removed=false"))
            expectThat(paths()).isEqualTo(listOf(check, "/objects/evacuations?watch=9&waitMs=28000"))
        }
    }
}
