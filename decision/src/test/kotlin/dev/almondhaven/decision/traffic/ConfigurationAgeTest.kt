package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ConfigurationAgeTest {
    private val proof = ConfigurationAge(lifetime = 4.seconds)
    private val second = 1_000_000_000L

    @Nested
    inner class `a proof` {
        @Test
        fun `does not hold before the first read`() {
            expectThat(proof.isFresh(0, 0)).isEqualTo(false)
            expectThat(proof.age(0, 0)).isEqualTo(Duration.INFINITE)
        }

        @Test
        fun `holds until its lifetime has passed`() {
            proof.confirm(10 * second, 1_000)
            expectThat(
                listOf(13L, 14L).map { proof.isFresh(it * second, 1_000 + (it - 10) * 1_000) },
            ).isEqualTo(listOf(true, false))
        }

        @Test
        fun `lapses while the process was suspended, though the steady clock stood still`() {
            proof.confirm(10 * second, 1_000)
            expectThat(proof.isFresh(10 * second, wallMillis = 7_000)).isEqualTo(false)
        }

        @Test
        fun `is not made younger by a time of day that jumps back`() {
            proof.confirm(10 * second, 60_000)
            expectThat(proof.age(13 * second, wallMillis = 0)).isEqualTo(3.seconds)
        }
    }
}
