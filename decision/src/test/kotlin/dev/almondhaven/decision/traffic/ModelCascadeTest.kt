package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ModelCascadeTest {
    private val cascade = ModelCascade()
    private val models = listOf("small", "middle", "large")

    private fun escalationTarget(
        model: String,
        confidence: Int?,
        late: Set<String> = emptySet(),
        backlogMillis: Double = 0.0,
    ): String? {
        val conditions =
            EscalationConditions(remainingMillis = 1_000.0, backlogMillis) {
                if (it in
                    late
                ) {
                    2_000.0
                } else {
                    backlogMillis
                }
            }
        return cascade.escalationTarget(models, model, confidence, conditions)
    }

    @Nested
    inner class `the first model` {
        private fun firstModel(largeMillis: Double) =
            cascade.firstModel(models, objectiveMillis = 3_000) { if (it == "large") largeMillis else largeMillis / 10 }

        @Test
        fun `is the small one unless the large one is in time only if asked at once`() {
            expectThat(
                listOf(200.0, 2_500.0, 2_700.0, 2_900.0).map(::firstModel),
            ).isEqualTo(listOf("small", "small", "large", "small"))
        }
    }

    @Nested
    inner class `the only model of a request that may run once` {
        private fun onlyModel(largeMillis: Double) =
            cascade.onlyModel(models, objectiveMillis = 1_000) {
                mapOf("large" to 1.0, "middle" to 0.5, "small" to 0.1).getValue(it) * largeMillis
            }

        @Test
        fun `is the largest that is in time, or else the small one`() {
            expectThat(listOf(100.0, 949.0, 951.0, 1_899.0, 1_901.0, 20_000.0).map(::onlyModel))
                .isEqualTo(listOf("large", "large", "middle", "middle", "small", "small"))
        }
    }

    @Nested
    inner class `an answer of the small model` {
        @Test
        fun `is kept when its confidence is high or unknown`() {
            expectThat(listOf(100, 60, null).map { escalationTarget("small", it) }).isEqualTo(listOf(null, null, null))
        }

        @Test
        fun `is escalated to the middle model if nearly good enough, otherwise to the large one`() {
            expectThat(
                listOf(59, 45, 44, 0).map { escalationTarget("small", it) },
            ).isEqualTo(listOf("middle", "middle", "large", "large"))
        }

        @Test
        fun `is escalated to the middle model if only that one would be in time`() {
            expectThat(escalationTarget("small", 10, late = setOf("large"))).isEqualTo("middle")
            expectThat(escalationTarget("small", 10, late = setOf("large", "middle"))).isEqualTo("large")
        }

        @Test
        fun `is kept if no larger model would be in time, unless its confidence is very low`() {
            val late = setOf("large", "middle")
            expectThat(listOf(59, 45, 30, 25, 24).map { escalationTarget("small", it, late) })
                .isEqualTo(listOf(null, null, null, null, "large"))
        }
    }

    @Nested
    inner class `an answer of low confidence while engines are busy` {
        @Test
        fun `is escalated if the model begins within a time limit that grows as confidence falls`() {
            val backlogs = listOf(400.0, 560.0, 820.0, 880.0, 920.0)
            expectThat(backlogs.map { escalationTarget("small", 0, backlogMillis = it) })
                .isEqualTo(listOf("large", "large", "large", "large", null))
            expectThat(backlogs.map { escalationTarget("small", 10, backlogMillis = it) })
                .isEqualTo(listOf("large", "large", "large", null, null))
            expectThat(backlogs.map { escalationTarget("small", 59, backlogMillis = it) })
                .isEqualTo(listOf("middle", null, null, null, null))
        }

        @Test
        fun `is escalated to the middle model if the large one would take too long`() {
            fun conditions(large: Double) =
                EscalationConditions(remainingMillis = 1_000.0, prefillBacklogMillis = 400.0) {
                    if (it ==
                        "large"
                    ) {
                        large
                    } else {
                        500.0
                    }
                }
            expectThat(listOf(850.0, 880.0, 950.0).map { cascade.escalationTarget(models, "small", 5, conditions(it)) })
                .isEqualTo(listOf("large", "middle", "middle"))
        }

        @Test
        fun `is kept if the only better model would be late`() {
            expectThat(escalationTarget("small", 50, late = setOf("middle"), backlogMillis = 400.0)).isEqualTo(null)
        }
    }

    @Nested
    inner class `an answer of a larger model` {
        @Test
        fun `is escalated to the large model only`() {
            expectThat(listOf(59, 60).map { escalationTarget("middle", it) }).isEqualTo(listOf("large", null))
            expectThat(escalationTarget("large", 0)).isEqualTo(null)
        }
    }
}
