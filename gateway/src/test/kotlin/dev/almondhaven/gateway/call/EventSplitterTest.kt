package dev.almondhaven.gateway.call

import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class EventSplitterTest {
    private fun EventSplitter.texts(chunk: String) = append(chunk.toByteArray()).map { String(it.bytes) }

    @Nested
    inner class `a stream of events` {
        @Test
        fun `is split at empty lines of either kind, and the rest is kept`() {
            val splitter = EventSplitter()

            expectThat(splitter.texts("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n"))
                .isEqualTo(listOf("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"))
            expectThat(splitter.hasPartialEvent).isEqualTo(true)
            expectThat(splitter.texts("\n")).isEqualTo(listOf("id: 3\n\n"))
        }

        @Test
        fun `gives the same events however it is cut into chunks`() {
            val pieces = Arb.list(Arb.element("id: 7", "\n", "\r\n", "\r", "data: x", "\n\n"), 0..40)
            runBlocking {
                checkAll(300, pieces, Arb.int(1..9)) { parts, size ->
                    val text = parts.joinToString("")
                    val inChunks = EventSplitter().let { splitter -> text.chunked(size).flatMap { splitter.texts(it) } }

                    expectThat(inChunks).isEqualTo(EventSplitter().texts(text))
                }
            }
        }
    }

    @Nested
    inner class `an event without end` {
        @Test
        fun `is oversized after 1 MiB, whatever its lines are`() {
            val splitter = EventSplitter()
            val line = "data: ${"x".repeat(1_017)}\n"
            repeat(1_024) { splitter.append(line.toByteArray()) }
            val atLimit = splitter.isOversized
            splitter.append("x".toByteArray())

            expectThat(listOf(atLimit, splitter.isOversized)).isEqualTo(listOf(false, true))
        }
    }
}
