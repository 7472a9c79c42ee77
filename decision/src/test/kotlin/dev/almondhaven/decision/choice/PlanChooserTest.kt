package dev.almondhaven.decision.choice

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class PlanChooserTest {
    private val demand = Demand(promptTokens = 100, outputTokens = 200, target = 0.85, remainingMillis = 60_000)

    @Nested
    inner class `the plan` {
        @Test
        fun `is the cheap version if that reaches the target`() {
            val candidates = listOf(candidate(version("small", 1.0, 0.92)), candidate(version("large", 9.0, 0.97)))

            val plan = PlanChooser.choose(candidates, demand)

            expectThat(plan).isNotNull().get { first.id.toString() }.isEqualTo("slate-small@1")
            expectThat(plan).isNotNull().get { escalation }.isNull()
        }

        @Test
        fun `is a cascade if the confident answers of the cheap version are good enough`() {
            val small = version("small", 1.0, 0.8)
            val evidence = calibratedEvidence()
            val estimate = VersionEstimate.of(small, TaskClassifier.QUERY, mapOf(0L to evidence), 0)
            val candidates = listOf(Candidate(small, estimate), candidate(version("large", 9.0, 0.97)))

            val plan = PlanChooser.choose(candidates, demand.copy(target = 0.9))

            expectThat(plan).isNotNull().get { escalation?.id.toString() }.isEqualTo("slate-large@1")
            expectThat(plan).isNotNull().get { meetsTarget }.isTrue()
        }

        @Test
        fun `has no escalation if that isn't allowed`() {
            val small = version("small", 1.0, 0.8)
            val estimate = VersionEstimate.of(small, TaskClassifier.QUERY, mapOf(0L to calibratedEvidence()), 0)
            val candidates = listOf(Candidate(small, estimate), candidate(version("large", 9.0, 0.97)))

            val plan = PlanChooser.choose(candidates, demand.copy(target = 0.9, mayEscalate = false))

            expectThat(plan).isNotNull().get { escalation }.isNull()
        }

        @Test
        fun `is the best available if none reaches the target, and is marked as such`() {
            val candidates = listOf(candidate(version("small", 1.0, 0.5)), candidate(version("large", 9.0, 0.7)))

            val plan = PlanChooser.choose(candidates, demand)

            expectThat(plan).isNotNull().get { meetsTarget }.isFalse()
        }

        @Test
        fun `doesn't exist for a prompt that is too long for every version`() {
            val plan = PlanChooser.choose(listOf(candidate(version("small", promptTokensLimit = 50))), demand)

            expectThat(plan).isNull()
        }

        private fun calibratedEvidence(): Tally {
            var tally = Tally.EMPTY
            repeat(400) { tally = tally.plusRequest(false, 20.0, ConfidenceBand.HIGH) }
            repeat(100) { tally = tally.plusRequest(false, 20.0, ConfidenceBand.LOW) }
            repeat(400) { tally = tally.plusRating(0.96, ConfidenceBand.HIGH) }
            repeat(100) { tally = tally.plusRating(0.3, ConfidenceBand.LOW) }
            return tally
        }
    }

    @Nested
    inner class `for any versions` {
        private val versions =
            Arb.list(Arb.bind(Arb.double(0.1, 10.0), Arb.double(0.3, 0.99), ::Pair), 1..9).map { drawn ->
                drawn.mapIndexed { index, (price, quality) -> candidate(version("$index", price, quality)) }
            }

        @Test
        fun `the cost never exceeds that of the cheapest single version that reaches the target`() =
            runBlocking<Unit> {
                checkAll(
                    PropTestConfig(seed = 5),
                    versions,
                    Arb.double(0.4, 0.95),
                    Arb.int(1, 9_000),
                ) { all, target, prompt ->
                    val asked = demand.copy(target = target, promptTokens = prompt)
                    val plan = PlanChooser.choose(all, asked)
                    val single =
                        all
                            .filter { PlanChooser.quality(it) >= target }
                            .minOfOrNull { PlanChooser.cost(it, asked) }

                    if (single != null) {
                        expectThat(plan).isNotNull().get { meetsTarget }.isTrue()
                        expectThat(plan!!.cost).isLessThanOrEqualTo(single)
                    }
                }
            }
    }
}
