package dev.almondhaven.decision.rollout

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class QuarantinePolicyTest {
    private val good = Behaviour()

    /** Seconds until `new` is in quarantine, or [patience]. */
    private fun secondsToStop(
        seed: Long,
        bad: Behaviour,
        patience: Int = 300,
        limits: TrialLimits = TrialLimits(),
    ): Int {
        val scene = TrialSimulation(seed, limits)
        repeat(patience) { second ->
            scene.serve(scene.old, good)
            scene.serve(scene.new, bad)
            if (scene.new in scene.look(scene.old, scene.new)) return second
        }
        return patience
    }

    @Nested
    inner class `a roll-out` {
        @Test
        fun `of a version as good as its predecessor is stopped no more often than the bound says`() {
            val limits = TrialLimits(rollOutFalseAlarm = 0.05)
            val stopped = (1L..100L).count { secondsToStop(it, good, patience = 200, limits) < 200 }

            expectThat(stopped).isLessThanOrEqualTo(5)
        }

        @Test
        fun `of a version that fails more often is stopped`() {
            expectThat((1L..10L).maxOf { secondsToStop(it, good.copy(errorRate = 0.25)) }).isLessThan(60)
        }

        @Test
        fun `of a slow version is stopped`() {
            expectThat((1L..10L).maxOf { secondsToStop(it, good.copy(millisecondsPerToken = 100.0)) }).isLessThan(60)
        }

        @Test
        fun `of a version with worse answers is stopped`() {
            expectThat((1L..10L).maxOf { secondsToStop(it, good.copy(quality = 0.5)) }).isLessThan(60)
        }
    }

    @Nested
    inner class `a version in service` {
        private fun settled(seed: Long): TrialSimulation {
            val scene = TrialSimulation(seed)
            repeat(30) {
                scene.serve(scene.old, good, count = 30)
                scene.serve(scene.other, good, count = 30)
                expectThat(scene.look(scene.old, scene.other, seconds = 60)).isEmpty()
            }
            return scene
        }

        @Test
        fun `that turns bad is stopped`() {
            val scene = settled(1)
            val bad = good.copy(errorRate = 0.3)

            val stopped =
                (1..60).firstOrNull {
                    scene.serve(scene.old, bad)
                    scene.serve(scene.other, good)
                    scene.old in scene.look(scene.old, scene.other)
                }

            expectThat(stopped ?: 60).isLessThan(60)
            expectThat(scene.measure(scene.old)).isEqualTo(TrialMeasure.ERROR_RATE)
        }

        @Test
        fun `stays when the rating service turns hostile to all`() {
            val scene = settled(2)
            val slandered = good.copy(quality = 0.1)

            repeat(100) {
                scene.serve(scene.old, slandered)
                scene.serve(scene.other, slandered)
                expectThat(scene.look(scene.old, scene.other, seconds = 30).size).isLessThanOrEqualTo(1)
            }
        }

        @Test
        fun `stays when the rating service falls silent`() {
            val scene = settled(3)

            repeat(100) {
                scene.serve(scene.old, good, ratedEvery = Int.MAX_VALUE)
                scene.serve(scene.other, good, ratedEvery = Int.MAX_VALUE)
                expectThat(scene.look(scene.old, scene.other, seconds = 30)).isEmpty()
            }
        }
    }
}
