package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationWatcherTest {
    private val channel = EmbeddedChannel()
    private val store = ScriptedStoreClient()
    private val seen = ArrayList<Long>()
    private val revisions = ArrayList<Long>()
    private var millis = 0L
    private val watcher = watcher(drain = 4.seconds)

    private fun watcher(drain: Duration) =
        ConfigurationWatcher(
            TrafficBounds(8.seconds, drain, revocation = 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds),
            store,
            channel.eventLoop(),
            NanoClock { millis * 1_000_000 },
            ::configure,
            { revisions += it },
            { millis },
        )

    private var failingRevision = 0L

    private fun configure(entry: StoredObject) {
        if (entry.revision == failingRevision) throw OutOfMemoryError("simulated")
        seen += entry.revision
    }

    private fun entry(revision: Long) =
        """{"metadata":{"name":"main","revision":$revision,"created":2},"spec":{},"status":null}"""

    private fun list(revision: Long) = """{"items":[${entry(revision)}],"truncated":false,"currentRev":$revision}"""

    private fun unchanged(revision: Long) = """{"events":[],"currentRev":$revision}"""

    private fun change(revision: Long) =
        """{"events":[{"removed":false,"object":${entry(revision)}}],"currentRev":$revision}"""

    private fun advance(span: Long) {
        millis += span
        channel.advanceTimeBy(span, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun respond(
        body: String?,
        status: Int = 200,
    ): Unit = store.calls.last().onResponse(body?.let { StoreResponse(status, it) })

    private fun startAndList() {
        watcher.start()
        advance(10)
        respond(list(7))
    }

    /** Guards against CONFIG: only the first page of a list was read, and the configuration may stand on a later one. */
    @Nested
    inner class `a configuration on the second page of the list` {
        @Test
        fun `is found, and watched from the revision of the first page`() {
            val other = entry(3).replace("main", "backup")
            watcher.start()
            respond("""{"items":[$other],"truncated":true,"currentRev":7}""")
            respond(list(9))

            expectThat(store.calls.map { it.path }).isEqualTo(
                listOf("/objects/config", "/objects/config?after=backup", "/objects/config?watch=7&waitMs=2000"),
            )
            expectThat(seen.toList()).isEqualTo(listOf(3L, 9L))
        }
    }

    /** Guards against CONFIG: an OutOfMemoryError while a version was applied ended the watch for good. */
    @Nested
    inner class `a step that fails with an error` {
        private fun failAt(revision: Long) {
            failingRevision = revision
            runCatching { respond(change(revision)) }
            failingRevision = 0
        }

        @Test
        fun `is followed by a read, which applies the version that was not applied`() {
            startAndList()
            failAt(9)
            advance(200)
            expectThat(store.calls.last().path).isEqualTo("/objects/config")
            respond(list(9))

            expectThat(seen.toList()).isEqualTo(listOf(7L, 9L))
            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=9&waitMs=2000")
        }

        @Test
        fun `is followed by no read while another router passes the configuration on`() {
            startAndList()
            failAt(9)
            watcher.pause()
            val calls = store.calls.size
            advance(5_000)

            expectThat(store.calls.size).isEqualTo(calls)
        }

        @Test
        fun `does not confirm the configuration`() {
            startAndList()
            advance(4_000)
            failAt(9)
            advance(3_000)

            expectThat(watcher.isFresh).isEqualTo(false)
        }
    }

    @Nested
    inner class `a watch` {
        @Test
        fun `follows the list, and confirms by ending without a change that nothing changed until then`() {
            startAndList()
            advance(2_010)
            respond(unchanged(7))

            expectThat(store.calls.map { it.path }).isEqualTo(
                listOf("/objects/config", "/objects/config?watch=7&waitMs=2000", "/objects/config?watch=7&waitMs=2000"),
            )
            expectThat(watcher.confirmationAge()).isEqualTo(60.milliseconds)
        }

        @Test
        fun `that ends without a change before its full duration confirms only the state when it was sent`() {
            startAndList()
            advance(1_500)
            respond(unchanged(7))

            expectThat(watcher.confirmationAge()).isEqualTo(1_500.milliseconds)
        }

        @Test
        fun `that the store ends at once is followed by the next one after a pause`() {
            startAndList()
            respond(unchanged(7))
            expectThat(store.calls.size).isEqualTo(2)
            advance(150)

            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=7&waitMs=2000")
            expectThat(store.calls.size).isEqualTo(3)
        }

        @Test
        fun `that reports a change confirms only the state when it was sent, and is followed by a shorter watch`() {
            startAndList()
            advance(1_500)
            respond(change(9))
            advance(150)

            expectThat(seen.toList()).isEqualTo(listOf(7L, 9L))
            expectThat(watcher.confirmationAge()).isEqualTo(1_650.milliseconds)
            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=9&waitMs=500")
        }

        @Test
        fun `that times out is followed by reads, early enough for two of them to be lost`() {
            startAndList()
            val lost = store.calls.last()
            advance(lost.timeout.inWholeMilliseconds)
            respond(null)
            listOf(20L, 250L).forEach { pause ->
                advance(pause)
                advance(
                    store.calls
                        .last()
                        .timeout.inWholeMilliseconds,
                )
                expectThat(watcher.isFresh).isEqualTo(true)
                respond(null)
            }
            advance(230)

            expectThat(store.calls.drop(2).map { it.path }).isEqualTo(List(2) { "/objects/config" })
            expectThat(watcher.isFresh).isEqualTo(false)
        }

        @Test
        fun `whose history is gone is followed by a list`() {
            startAndList()
            advance(100)
            respond("{}", status = 410)
            advance(20)
            respond(list(50))

            expectThat(seen.toList()).isEqualTo(listOf(7L, 50L))
            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=50&waitMs=2000")
        }
    }

    @Nested
    inner class `the store's revision` {
        /** Guards against DRAIN after a lost watch of the endpoints: their changes were heard of after 29.5 s. */
        @Test
        fun `is reported by each response`() {
            startAndList()
            advance(2_010)
            respond(unchanged(8))
            advance(1_000)
            respond(change(9))

            expectThat(revisions.toList()).isEqualTo(listOf(7L, 8L, 9L))
        }

        @Test
        fun `is asked for again well within the drain time`() {
            watcher(drain = 2.seconds).start()
            advance(10)
            respond(list(7))

            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=7&waitMs=1200")
        }
    }

    @Nested
    inner class `a store without a configuration` {
        @Test
        fun `confirms nothing and is read again`() {
            watcher.start()
            respond("""{"items":[],"truncated":false,"currentRev":1}""")
            advance(250)

            expectThat(listOf(store.calls.size, if (watcher.isFresh) 1 else 0)).isEqualTo(listOf(2, 0))
        }

        @Test
        fun `is waited for by a watch, which confirms nothing until it is there`() {
            watcher.start()
            respond("""{"items":[],"truncated":false,"currentRev":1}""")
            advance(2_000)
            respond(unchanged(1))
            val before = watcher.isFresh
            respond(change(4))

            expectThat(store.calls.map { it.path.substringAfter('?', "list") }.distinct())
                .isEqualTo(listOf("list", "watch=1&waitMs=2000"))
            expectThat(listOf(before, watcher.isFresh) to seen.toList()).isEqualTo(listOf(false, true) to listOf(4L))
        }
    }
}
