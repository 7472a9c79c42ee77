package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ModelSizingTest {
    private val sizing = ModelSizing()
    private val models = listOf("small", "middle", "large")

    private fun instead(
        model: String,
        confidence: Int?,
        late: Set<String> = emptySet(),
        backlogMillis: Double = 0.0,
    ): String? {
        val outlook = SizingOutlook(leftMillis = 1_000.0, backlogMillis) { if (it in late) 2_000.0 else backlogMillis }
        return sizing.instead(models, model, confidence, outlook)
    }

    @Nested
    inner class `the first model` {
        private fun first(largeMillis: Double) =
            sizing.first(models, objectiveMillis = 3_000) { if (it == "large") largeMillis else largeMillis / 10 }

        @Test
        fun `is the small one, unless only the large one asked at once would be in time`() {
            expectThat(
                listOf(200.0, 2_500.0, 2_700.0, 2_900.0).map(::first),
            ).isEqualTo(listOf("small", "small", "large", "small"))
        }
    }

    @Nested
    inner class `an answer of the small model` {
        @Test
        fun `is kept when it is confident or says nothing of it`() {
            expectThat(listOf(100, 60, null).map { instead("small", it) }).isEqualTo(listOf(null, null, null))
        }

        @Test
        fun `gives way to the middle model when it is nearly good enough, to the large one otherwise`() {
            expectThat(
                listOf(59, 45, 44, 0).map { instead("small", it) },
            ).isEqualTo(listOf("middle", "middle", "large", "large"))
        }

        @Test
        fun `gives way to the middle model where only that one would be in time`() {
            expectThat(instead("small", 10, late = setOf("large"))).isEqualTo("middle")
            expectThat(instead("small", 10, late = setOf("large", "middle"))).isEqualTo("large")
        }
    }

    @Nested
    inner class `an answer of low confidence while engines are busy` {
        @Test
        fun `gives way only to a model that begins well within the time left`() {
            expectThat(
                listOf(400.0, 600.0).map { instead("small", 10, backlogMillis = it) },
            ).isEqualTo(listOf("large", null))
            expectThat(instead("small", 50, late = setOf("middle"), backlogMillis = 400.0)).isEqualTo(null)
        }
    }

    @Nested
    inner class `an answer of a larger model` {
        @Test
        fun `gives way to the large one only`() {
            expectThat(listOf(59, 60).map { instead("middle", it) }).isEqualTo(listOf("large", null))
            expectThat(instead("large", 0)).isEqualTo(null)
        }
    }
}
