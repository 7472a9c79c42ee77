package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ModelCascadeTest {
    private val sizing = ModelCascade()
    private val models = listOf("small", "middle", "large")

    private fun instead(
        model: String,
        confidence: Int?,
        late: Set<String> = emptySet(),
        backlogMillis: Double = 0.0,
    ): String? {
        val outlook =
            EscalationConditions(remainingMillis = 1_000.0, backlogMillis) {
                if (it in
                    late
                ) {
                    2_000.0
                } else {
                    backlogMillis
                }
            }
        return sizing.escalationTarget(models, model, confidence, outlook)
    }

    @Nested
    inner class `the first model` {
        private fun first(largeMillis: Double) =
            sizing.firstModel(models, objectiveMillis = 3_000) { if (it == "large") largeMillis else largeMillis / 10 }

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

        @Test
        fun `is kept where no larger one would be in time, unless it is hardly ever right`() {
            val late = setOf("large", "middle")
            expectThat(listOf(59, 45, 30, 25, 24).map { instead("small", it, late) })
                .isEqualTo(listOf(null, null, null, null, "large"))
        }
    }

    @Nested
    inner class `an answer of low confidence while engines are busy` {
        @Test
        fun `gives way to a model that begins within a part of the time left that grows with the doubt`() {
            val backlogs = listOf(400.0, 560.0, 820.0, 880.0, 920.0)
            expectThat(backlogs.map { instead("small", 0, backlogMillis = it) })
                .isEqualTo(listOf("large", "large", "large", "large", null))
            expectThat(backlogs.map { instead("small", 10, backlogMillis = it) })
                .isEqualTo(listOf("large", "large", "large", null, null))
            expectThat(backlogs.map { instead("small", 59, backlogMillis = it) })
                .isEqualTo(listOf("middle", null, null, null, null))
        }

        @Test
        fun `gives way to the middle model where the large one would take too long`() {
            fun outlook(large: Double) =
                EscalationConditions(remainingMillis = 1_000.0, prefillBacklogMillis = 400.0) {
                    if (it ==
                        "large"
                    ) {
                        large
                    } else {
                        500.0
                    }
                }
            expectThat(listOf(850.0, 880.0, 950.0).map { sizing.escalationTarget(models, "small", 5, outlook(it)) })
                .isEqualTo(listOf("large", "middle", "middle"))
        }

        @Test
        fun `is kept where the only better model would be late`() {
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
