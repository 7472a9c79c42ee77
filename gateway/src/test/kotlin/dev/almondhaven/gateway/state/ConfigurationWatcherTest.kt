package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationWatcherTest {
    private val channel = EmbeddedChannel()
    private val store = ScriptedStoreClient()
    private val seen = ArrayList<Long>()
    private var millis = 0L
    private val proof =
        ConfigurationWatcher(
            TrafficBounds(8.seconds, 2.seconds, revocation = 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds),
            store,
            channel.eventLoop(),
            NanoClock { millis * 1_000_000 },
            { seen += it.revision },
            { millis },
        )

    private fun entry(revision: Long) =
        """{"metadata":{"name":"main","revision":$revision,"created":2},"spec":{},"status":null}"""

    private fun list(revision: Long) = """{"items":[${entry(revision)}],"truncated":false,"currentRev":$revision}"""

    private fun quiet(revision: Long) = """{"events":[],"currentRev":$revision}"""

    private fun change(revision: Long) =
        """{"events":[{"removed":false,"object":${entry(revision)}}],"currentRev":$revision}"""

    private fun pass(span: Long) {
        millis += span
        channel.advanceTimeBy(span, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun answer(
        body: String?,
        status: Int = 200,
    ): Unit = store.calls.last().onAnswer(body?.let { StoreResponse(status, it) })

    private fun listed() {
        proof.start()
        pass(10)
        answer(list(7))
    }

    @Nested
    inner class `a watch` {
        @Test
        fun `follows the list, and proves by a quiet end that nothing changed until then`() {
            listed()
            pass(2_010)
            answer(quiet(7))

            expectThat(store.calls.map { it.path }).isEqualTo(
                listOf("/objects/config", "/objects/config?watch=7&waitMs=2000", "/objects/config?watch=7&waitMs=2000"),
            )
            expectThat(proof.age()).isEqualTo(60.milliseconds)
        }

        @Test
        fun `that ends quietly before its time proves only when it was sent`() {
            listed()
            pass(1_500)
            answer(quiet(7))

            expectThat(proof.age()).isEqualTo(1_500.milliseconds)
        }

        @Test
        fun `that brings a change proves only when it was sent, and is followed by a shorter one`() {
            listed()
            pass(1_500)
            answer(change(9))
            pass(150)

            expectThat(seen.toList()).isEqualTo(listOf(7L, 9L))
            expectThat(proof.age()).isEqualTo(1_650.milliseconds)
            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=9&waitMs=500")
        }

        @Test
        fun `that is not answered is followed by reads until one is, early enough for two of them to be lost`() {
            listed()
            val lost = store.calls.last()
            pass(lost.patience.inWholeMilliseconds)
            answer(null)
            listOf(20L, 250L).forEach { pause ->
                pass(pause)
                pass(
                    store.calls
                        .last()
                        .patience.inWholeMilliseconds,
                )
                expectThat(proof.fresh).isEqualTo(true)
                answer(null)
            }
            pass(230)

            expectThat(store.calls.drop(2).map { it.path }).isEqualTo(List(2) { "/objects/config" })
            expectThat(proof.fresh).isEqualTo(false)
        }

        @Test
        fun `whose history is gone is followed by a list`() {
            listed()
            pass(100)
            answer("{}", status = 410)
            pass(20)
            answer(list(50))

            expectThat(seen.toList()).isEqualTo(listOf(7L, 50L))
            expectThat(store.calls.last().path).isEqualTo("/objects/config?watch=50&waitMs=2000")
        }
    }

    @Nested
    inner class `a store without a configuration` {
        @Test
        fun `proves nothing and is read again`() {
            proof.start()
            answer("""{"items":[],"truncated":false,"currentRev":1}""")
            pass(250)

            expectThat(listOf(store.calls.size, if (proof.fresh) 1 else 0)).isEqualTo(listOf(2, 0))
        }
    }
}
