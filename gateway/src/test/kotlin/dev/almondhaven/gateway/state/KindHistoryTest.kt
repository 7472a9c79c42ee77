package dev.almondhaven.gateway.state

import dev.almondhaven.platform.RelayAnswer
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration

class KindHistoryTest {
    private fun stored(
        name: String,
        revision: Long,
    ) = """{"metadata":{"name":"$name","revision":$revision},"spec":{"at":$revision},"status":null}"""

    private fun page(
        revision: Long,
        vararg names: String,
    ) = StoreCall.page(
        StoreKind.ENDPOINTS,
        """{"items":[${names.joinToString(",") { stored(it, revision) }}],"truncated":false,"currentRev":$revision}""",
    )!!

    private fun changes(
        revision: Long,
        name: String,
        removed: Boolean = false,
    ) = StoreCall.changes(
        StoreKind.ENDPOINTS,
        """{"events":[{"object":${stored(name, revision)},"removed":$removed}],"currentRev":$revision}""",
    )!!

    /** A router that knows some objects, and learns of the rest only by encoded answers. */
    private class Follower {
        val objects = HashMap<String, Long>()
        var revision = 0L

        fun ask(history: KindHistory) {
            val kinds = listOfNotNull(history.since(revision))
            val answer = RelayAnswer(Duration.ZERO, Duration.ZERO, null, kinds)
            RelayAnswer.decode(answer.encode())!!.kinds.forEach { relayed ->
                relayed.list?.let { list ->
                    objects.clear()
                    list.forEach { objects[it.name] = it.revision }
                }
                relayed.changes.forEach {
                    if (it.removed) objects.remove(it.entry.name) else objects[it.entry.name] = it.entry.revision
                }
                revision = relayed.revision
            }
        }
    }

    @Nested
    inner class `a router that asks` {
        @Test
        fun `gets the list first, then the changes, and nothing while it knows as much`() {
            val history = KindHistory(StoreKind.ENDPOINTS)
            expectThat(history.since(0)).isNull()
            page(7, "a", "b").let { history.replace(it.objects, it.revision) }
            changes(9, "a", removed = true).let { history.add(it.changed, it.revision) }

            expectThat(history.since(0)!!.list!!.map { it.name }).isEqualTo(listOf("b"))
            expectThat(history.since(7)!!.changes.map { it.entry.name to it.removed }).isEqualTo(listOf("a" to true))
            expectThat(history.since(9)).isNull()
        }

        @Test
        fun `is not answered early for a revision at which nothing of the kind has changed`() {
            val history = KindHistory(StoreKind.ENDPOINTS)
            page(7, "a").let { history.replace(it.objects, it.revision) }
            history.advance(20)

            expectThat(history.hasNewsSince(7)).isFalse()
            expectThat(history.since(7)!!.revision).isEqualTo(20)
            changes(21, "a").let { history.add(it.changed, it.revision) }
            expectThat(history.hasNewsSince(20)).isTrue()
        }

        @Test
        fun `gets the whole list when the history does not reach back`() {
            val history = KindHistory(StoreKind.ENDPOINTS)
            page(7, "a").let { history.replace(it.objects, it.revision) }
            (8L..700L).forEach { revision ->
                changes(revision, "b$revision", removed = true).let { history.add(it.changed, it.revision) }
            }

            expectThat(history.since(187)!!.list!!).hasSize(1)
            expectThat(history.since(188)!!.changes).hasSize(512)
            expectThat(history.since(690)!!.changes.map { it.entry.name }).isEqualTo((691..700).map { "b$it" })
        }

        @Test
        fun `gets an object that was removed and created again, and not its removal`() {
            val history = KindHistory(StoreKind.ENDPOINTS)
            page(7, "a").let { history.replace(it.objects, it.revision) }
            changes(8, "a", removed = true).let { history.add(it.changed, it.revision) }
            changes(9, "a").let { history.add(it.changed, it.revision) }

            expectThat(
                history.since(7)!!.changes.map { it.entry.revision to it.removed },
            ).isEqualTo(listOf(9L to false))
        }

        /** Guards against CONFIG: each version of a long configuration was kept, until the heap was full. */
        @Test
        fun `gets an object that has changed often in its newest state alone`() {
            val history = KindHistory(StoreKind.CONFIGURATION)
            page(7, "main").let { history.replace(it.objects, it.revision) }
            (8L..107L).forEach { revision -> changes(revision, "main").let { history.add(it.changed, it.revision) } }

            expectThat(history.since(7)!!.changes.map { it.entry.revision }).isEqualTo(listOf(107L))
        }

        /** Guards against a full heap: the names of removed objects may be as long as their writers choose. */
        @Test
        fun `gets the whole list when the names of removed objects are too long to be remembered`() {
            val history = KindHistory(StoreKind.ENDPOINTS)
            page(7, "a").let { history.replace(it.objects, it.revision) }
            (8L..407L).forEach { revision ->
                val name = "$revision".padEnd(1_000, 'x')
                changes(revision, name, removed = true).let { history.add(it.changed, it.revision) }
            }

            expectThat(history.since(100)!!.list!!).hasSize(1)
            expectThat(history.since(200)!!.changes).hasSize(207)
        }
    }

    @Nested
    inner class `whatever changes and whoever is asked` {
        @Test
        fun `a router ends with the store's objects`(): Unit =
            runBlocking {
                val steps = Arb.list(Arb.pair(Arb.int(0..5), Arb.pair(Arb.boolean(), Arb.int(0..3))), 0..60)
                checkAll(200, steps) { sequence ->
                    val store = HashMap<String, Long>()
                    val readers = List(2) { KindHistory(StoreKind.ENDPOINTS) }
                    readers.forEach { it.replace(emptyList(), 1) }
                    val pending = List(2) { ArrayList<Long>() }
                    val log = ArrayList<Pair<Long, Pair<String, Boolean>>>()
                    val follower = Follower()
                    var revision = 1L
                    sequence.forEach { (name, action) ->
                        val (removed, step) = action
                        revision++
                        if (removed) store.remove("$name") else store["$name"] = revision
                        log += revision to ("$name" to removed)
                        pending.forEach { it += revision }
                        // Each reader hears of changes in batches of its own; the follower asks either of them.
                        if (step < 2) catchUp(readers[step], pending[step], log)
                        follower.ask(readers[(step + 1) % 2])
                    }
                    readers.indices.forEach { catchUp(readers[it], pending[it], log) }
                    follower.ask(readers[0])
                    expectThat(follower.objects.toMap()).isEqualTo(store)
                }
            }

        private fun catchUp(
            reader: KindHistory,
            pending: ArrayList<Long>,
            log: List<Pair<Long, Pair<String, Boolean>>>,
        ) {
            if (pending.isEmpty()) return
            val batch = log.filter { it.first in pending }
            val changed = batch.flatMap { (at, change) -> changes(at, change.first, change.second).changed }
            reader.add(changed, pending.last())
            pending.clear()
        }
    }
}
