package dev.almondhaven.decision.claim

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class ClaimPropertyTest {
    private fun simulations(omitted: Omitted = Omitted.NOTHING) =
        (1L..SCHEDULES).asSequence().map { ClaimSimulation(it, omitted).run() }

    @Nested
    inner class `over thousands of schedules of faults` {
        @Test
        fun `a key is dispatched at most once and every not_run is true`() {
            val broken = simulations().flatMap { it.violations }.toSet()

            expectThat(broken).isEmpty()
        }

        @Test
        fun `calls are delivered, replayed, refused and dispatched`() {
            val ends = simulations().take(200).flatMap { it.ends.entries }.groupBy({ it.key }, { it.value })

            listOf("delivered", "replayed", "not_run", "ran", "unknown").forEach {
                expectThat(ends[it].orEmpty().sum()).describedAs(it).isGreaterThan(20)
            }
        }
    }

    private fun breaks(
        omitted: Omitted,
        violation: String,
    ): Boolean = simulations(omitted).any { simulation -> simulation.violations.any { it.startsWith(violation) } }

    @Nested
    inner class `the property fails` {
        @Test
        fun `without the conditional update`() {
            expectThat(breaks(Omitted.CONDITIONAL_UPDATE, "dispatched twice")).isTrue()
        }

        @Test
        fun `without the rule that a holder that says void has made it so`() {
            expectThat(breaks(Omitted.VOID_RULE, "dispatched twice")).isTrue()
        }

        @Test
        fun `without the bound on the dispatch`() {
            expectThat(breaks(Omitted.DISPATCH_BOUND, "dispatched after its bound")).isTrue()
        }

        @Test
        fun `without the order of arrival at a void claim`() {
            expectThat(breaks(Omitted.ARRIVAL_ORDER, "an untrue not_run")).isTrue()
        }
    }

    private companion object {
        const val SCHEDULES = 3_000L
    }
}
