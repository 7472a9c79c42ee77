package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ConfigurationAgeTest {
    private val configurationAge = ConfigurationAge(lifetime = 4.seconds)
    private val second = 1_000_000_000L

    @Nested
    inner class `a configuration` {
        @Test
        fun `is not fresh before the first confirmation`() {
            expectThat(configurationAge.isFresh(0, 0)).isEqualTo(false)
            expectThat(configurationAge.age(0, 0)).isEqualTo(Duration.INFINITE)
        }

        @Test
        fun `is fresh until its lifetime has passed`() {
            configurationAge.confirm(10 * second, 1_000)
            expectThat(
                listOf(13L, 14L).map { configurationAge.isFresh(it * second, 1_000 + (it - 10) * 1_000) },
            ).isEqualTo(listOf(true, false))
        }

        @Test
        fun `expires while the process is suspended, although the monotonic clock stands still`() {
            configurationAge.confirm(10 * second, 1_000)
            expectThat(configurationAge.isFresh(10 * second, wallMillis = 7_000)).isEqualTo(false)
        }

        @Test
        fun `does not become younger when the wall clock jumps back`() {
            configurationAge.confirm(10 * second, 60_000)
            expectThat(configurationAge.age(13 * second, wallMillis = 0)).isEqualTo(3.seconds)
        }
    }
}
