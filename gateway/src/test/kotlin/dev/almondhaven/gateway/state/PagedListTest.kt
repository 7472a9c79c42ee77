package dev.almondhaven.gateway.state

import dev.almondhaven.platform.RelayAnswer
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.coroutines.runBlocking
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against DRAIN: what changes, appears or vanishes between the pages of a list, and is never heard of. */
class PagedListTest {
    private val channel = EmbeddedChannel()

    /** What a router has been told of, by the name of the object. */
    private class Knowledge(
        store: StoreClient,
        channel: EmbeddedChannel,
    ) {
        val objects = HashMap<String, Long>()
        val history = KindHistory(StoreKind.ENDPOINTS)
        val watcher =
            KindWatcher(
                history,
                store,
                channel.eventLoop(),
                RandomSource.SPLIT_MIX_64.create(1L),
                BATCH_DELAY,
                BATCH_DELAY,
                ::replace,
                ::change,
            )

        private fun replace(entries: List<StoredObject>) {
            objects.clear()
            entries.forEach { objects[it.name] = it.revision }
        }

        private fun change(changes: List<StoreChange>): Unit =
            changes.forEach {
                if (it.removed) objects.remove(it.entry.name) else objects[it.entry.name] = it.entry.revision
            }

        /** Learns what [reader] knows, as a router that follows it does. */
        fun ask(reader: Knowledge) {
            val kinds = listOfNotNull(reader.history.since(history.revision))
            RelayAnswer
                .decode(RelayAnswer(Duration.ZERO, Duration.ZERO, null, kinds).encode())!!
                .kinds
                .forEach(watcher::applyRelayed)
        }
    }

    private fun pause() {
        channel.advanceTimeBy(BATCH_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    @Nested
    inner class `whatever changes while a list is read` {
        @Test
        fun `the router and its followers end with the store's objects`(): Unit =
            runBlocking {
                val change = Arb.pair(Arb.int(0..9), Arb.boolean())
                // What changes, which reader is answered then, and which one the follower asks.
                val step = Arb.pair(Arb.list(change, 0..4), Arb.pair(Arb.int(0..1), Arb.int(0..1)))
                checkAll(PropTestConfig(seed = SEED, iterations = RUNS), Arb.list(step, 0..24)) { steps ->
                    val store = PagingStore(pageSize = 2)
                    listOf(1, 3, 5, 7, 9).forEach { store.put("$it") }
                    val clients = List(2) { store.Client() }
                    val readers = clients.map { Knowledge(it, channel) }
                    val follower = Knowledge(ScriptedStoreClient(), channel)
                    readers.forEach { it.watcher.start() }
                    steps.forEach { (changes, turn) ->
                        changes.forEach { (name, removed) ->
                            if (removed) store.remove("$name") else store.put("$name")
                        }
                        clients[turn.first].answer()
                        follower.ask(readers[turn.second])
                        pause()
                    }
                    repeat(CALLS_TO_CATCH_UP) {
                        clients.forEach { it.answer() }
                        pause()
                    }
                    follower.ask(readers.first())

                    (readers + follower).forEach { expectThat(it.objects.toMap()).isEqualTo(store.contents) }
                }
            }
    }

    private companion object {
        const val SEED = 59L
        const val RUNS = 500
        val BATCH_DELAY = 150.milliseconds

        /** More than the pages of the list, and a watch. */
        const val CALLS_TO_CATCH_UP = 8
    }
}
