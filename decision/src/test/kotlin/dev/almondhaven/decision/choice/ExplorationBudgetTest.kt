package dev.almondhaven.decision.choice

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class ExplorationBudgetTest {
    private val demand = Demand(promptTokens = 100, outputTokens = 200, target = 0.85, remainingMillis = 60_000)
    private val candidates = listOf(candidate(version("small", 1.0, 0.83)), candidate(version("large", 9.0, 0.97)))
    private val plan = PlanChooser.choose(candidates, demand.copy(mayEscalate = false))!!

    @Test
    fun `stays within its share of requests and cost after every request`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 3, iterations = 30), Arb.long(), Arb.double(0.0, 0.2)) { seed, share ->
                val limits = ExplorationLimits(requestShare = share, costShare = 0.01)
                val budget = ExplorationBudget(limits, RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
                for (count in 1..500) {
                    budget.explore(plan, candidates, demand)

                    expectThat(budget.exploredRequests.toDouble()).isLessThanOrEqualTo(share * count)
                    expectThat(budget.addedCost).isLessThanOrEqualTo(plan.cost * count * 0.01)
                }
            }
        }

    @Test
    fun `tries a version of uncertain quality that might be cheaper`() {
        val budget = ExplorationBudget(ExplorationLimits(), RandomSource.XO_RO_SHI_RO_128_PP.create(1))
        repeat(2_000) { budget.explore(plan, candidates, demand) }

        expectThat(budget.exploredRequests).isGreaterThan(20)
    }

    @Test
    fun `stops for versions whose quality is known well enough`() {
        var tally = Tally.EMPTY
        repeat(5_000) { tally = tally.plusRating(0.83, ConfidenceBand.ALL[it % 4]) }
        val small = candidates.first().version
        val known = Candidate(small, VersionEstimate.of(small, TaskClassifier.QUERY, mapOf(0L to tally), 0))
        val budget = ExplorationBudget(ExplorationLimits(), RandomSource.XO_RO_SHI_RO_128_PP.create(1))
        repeat(2_000) { budget.explore(plan, listOf(known, candidates.last()), demand) }

        expectThat(budget.exploredRequests).isEqualTo(0)
    }
}
