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

    /** Seconds until the new version is in quarantine, at most [maximumSeconds]. */
    private fun secondsToQuarantine(
        seed: Long,
        bad: Behaviour,
        maximumSeconds: Int = 300,
        limits: TrialLimits = TrialLimits(),
    ): Int {
        val simulation = TrialSimulation(seed, limits)
        repeat(maximumSeconds) { second ->
            simulation.serve(simulation.old, good)
            simulation.serve(simulation.new, bad)
            if (simulation.new in simulation.evaluate(simulation.old, simulation.new)) return second
        }
        return maximumSeconds
    }

    @Nested
    inner class `a roll-out` {
        @Test
        fun `of a version as good as its predecessor is stopped no more often than the bound allows`() {
            val limits = TrialLimits(rollOutFalseAlarm = 0.05)
            val stopped = (1L..100L).count { secondsToQuarantine(it, good, maximumSeconds = 200, limits) < 200 }

            expectThat(stopped).isLessThanOrEqualTo(5)
        }

        @Test
        fun `of a version that fails more often is stopped`() {
            expectThat((1L..10L).maxOf { secondsToQuarantine(it, good.copy(errorRate = 0.25)) }).isLessThan(60)
        }

        @Test
        fun `of a slow version is stopped`() {
            expectThat(
                (1L..10L).maxOf { secondsToQuarantine(it, good.copy(millisecondsPerToken = 100.0)) },
            ).isLessThan(60)
        }

        @Test
        fun `of a version with worse answers is stopped`() {
            expectThat((1L..10L).maxOf { secondsToQuarantine(it, good.copy(quality = 0.5)) }).isLessThan(60)
        }
    }

    @Nested
    inner class `a version in service` {
        private fun simulationInService(seed: Long): TrialSimulation {
            val simulation = TrialSimulation(seed)
            repeat(30) {
                simulation.serve(simulation.old, good, count = 30)
                simulation.serve(simulation.other, good, count = 30)
                expectThat(simulation.evaluate(simulation.old, simulation.other, seconds = 60)).isEmpty()
            }
            return simulation
        }

        @Test
        fun `that degrades is quarantined`() {
            val simulation = simulationInService(1)
            val bad = good.copy(errorRate = 0.3)

            val stopped =
                (1..60).firstOrNull {
                    simulation.serve(simulation.old, bad)
                    simulation.serve(simulation.other, good)
                    simulation.old in simulation.evaluate(simulation.old, simulation.other)
                }

            expectThat(stopped ?: 60).isLessThan(60)
            expectThat(simulation.measure(simulation.old)).isEqualTo(TrialMeasure.ERROR_RATE)
        }

        @Test
        fun `stays in service if the rating service turns hostile to all versions`() {
            val simulation = simulationInService(2)
            val withHostileRatings = good.copy(quality = 0.1)

            repeat(100) {
                simulation.serve(simulation.old, withHostileRatings)
                simulation.serve(simulation.other, withHostileRatings)
                expectThat(
                    simulation.evaluate(simulation.old, simulation.other, seconds = 30).size,
                ).isLessThanOrEqualTo(1)
            }
        }

        @Test
        fun `stays in service if the rating service stops rating`() {
            val simulation = simulationInService(3)

            repeat(100) {
                simulation.serve(simulation.old, good, ratedEvery = Int.MAX_VALUE)
                simulation.serve(simulation.other, good, ratedEvery = Int.MAX_VALUE)
                expectThat(simulation.evaluate(simulation.old, simulation.other, seconds = 30)).isEmpty()
            }
        }
    }
}
