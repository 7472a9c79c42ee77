package dev.almondhaven.decision.claim

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class ClaimPropertyTest {
    private fun simulations(omitted: OmittedRule = OmittedRule.NONE) =
        (1L..SCHEDULES).asSequence().map { ClaimSimulation(it, omitted).run() }

    @Nested
    inner class `over thousands of random fault schedules` {
        @Test
        fun `a key is dispatched at most once and every not_run is true`() {
            val violations = simulations().flatMap { it.violations }.toSet()

            expectThat(violations).isEmpty()
        }

        @Test
        fun `calls are delivered, replayed, refused and dispatched`() {
            val ends = simulations().take(200).flatMap { it.ends.entries }.groupBy({ it.key }, { it.value })

            listOf("delivered", "replayed", "not_run", "ran", "unknown").forEach {
                expectThat(ends[it].orEmpty().sum()).describedAs(it).isGreaterThan(20)
            }
        }
    }

    private fun anyViolates(
        omitted: OmittedRule,
        violation: String,
    ): Boolean = simulations(omitted).any { simulation -> simulation.violations.any { it.startsWith(violation) } }

    @Nested
    inner class `the property is violated` {
        @Test
        fun `without the compare-and-set write`() {
            expectThat(anyViolates(OmittedRule.COMPARE_AND_SET, "dispatched twice")).isTrue()
        }

        @Test
        fun `if a holder reports a pending attempt as void without voiding it`() {
            expectThat(anyViolates(OmittedRule.VOID_RULE, "dispatched twice")).isTrue()
        }

        @Test
        fun `without the dispatch deadline`() {
            expectThat(anyViolates(OmittedRule.DISPATCH_DEADLINE, "dispatched after its deadline")).isTrue()
        }

        @Test
        fun `without comparing arrival times at a void claim`() {
            expectThat(anyViolates(OmittedRule.ARRIVAL_ORDER, "false not_run")).isTrue()
        }
    }

    private companion object {
        const val SCHEDULES = 3_000L
    }
}
