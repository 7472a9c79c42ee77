package dev.almondhaven.peer

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class PeerKeyRingTest {
    private val old = PeerKey("old-old-old-old-old")
    private val new = PeerKey("new-new-new-new-new")
    private val ring = PeerKeyRing(listOf(old))

    @Nested
    inner class `a signature` {
        @Test
        fun `is valid only for its own path and body`() {
            val signature = ring.signRequest("/peer/v1/probe", "{}")

            expectThat(ring.verifiesRequest(signature, "/peer/v1/probe", "{}")).isTrue()
            expectThat(ring.verifiesRequest(signature, "/peer/v1/other", "{}")).isFalse()
            expectThat(ring.verifiesRequest(signature, "/peer/v1/probe", "{ }")).isFalse()
        }

        @Test
        fun `of a response is valid only for its own request`() {
            val answer = ring.signAnswer(ring.signRequest("/peer/v1/probe", "1"), "{}")

            expectThat(ring.verifiesAnswer(answer, ring.signRequest("/peer/v1/probe", "1"), "{}")).isTrue()
            expectThat(ring.verifiesAnswer(answer, ring.signRequest("/peer/v1/probe", "2"), "{}")).isFalse()
        }
    }

    @Nested
    inner class `a rotation` {
        @Test
        fun `lets nodes at adjacent stages verify each other's requests`() {
            val stages = listOf(listOf(old), listOf(old, new), listOf(new, old), listOf(new)).map(::PeerKeyRing)

            val verified =
                stages.zipWithNext().map { (before, after) ->
                    after.verifiesRequest(before.signRequest("p", "b"), "p", "b") &&
                        before.verifiesRequest(after.signRequest("p", "b"), "p", "b")
                }

            expectThat(verified).isEqualTo(listOf(true, true, true))
        }

        @Test
        fun `rejects the old key after its removal`() {
            expectThat(PeerKeyRing(listOf(new)).verifiesRequest(ring.signRequest("p", "b"), "p", "b")).isFalse()
        }
    }

    @Test
    fun `a key is not printed`() {
        expectThat("$old").isEqualTo("***")
    }
}
