package dev.almondhaven.gateway.call

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class HeldBytesTest {
    private val total = BufferedBytes(limit = 1_000)
    private val free = HeldBytes.UNCOUNTED_BYTES

    @Nested
    inner class `a response` {
        @Test
        fun `counts with what it holds beyond the uncounted bytes`() {
            val held = HeldBytes(total)
            val sizes = listOf(free, free + 400, free + 300, 10)
            expectThat(sizes.map { held.tryResize(it) to total.held })
                .isEqualTo(listOf(true to 0L, true to 400L, true to 300L, true to 0L))
        }

        @Test
        fun `that doesn't fit leaves the others what they hold, and small ones fit still`() {
            val large = HeldBytes(total).also { it.tryResize(free + 900) }
            val next = HeldBytes(total)
            expectThat(listOf(next.tryResize(free + 101), next.tryResize(free))).isEqualTo(listOf(false, true))

            large.release()
            expectThat(listOf(next.tryResize(free + 1_000), total.held == 1_000L)).isEqualTo(listOf(true, true))
        }
    }
}
