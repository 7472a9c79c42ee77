package dev.almondhaven.decision.lease

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class LeaseTest {
    private val settings = LeaseSettings()

    private class Totals(
        val violations: List<String>,
        val accepted: Int,
    )

    /** Runs simulations that [create] makes for the schedules of a fixed seed. */
    private fun schedules(create: (Long) -> LeaseSimulation): Totals {
        val violations = mutableListOf<String>()
        var accepted = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 7_5, iterations = SCHEDULES), Arb.long()) { seed ->
                val simulation = create(seed)
                simulation.run(SPAN)
                violations += simulation.violations.map { "seed $seed: $it" }
                accepted += simulation.accepted
            }
        }
        return Totals(violations, accepted)
    }

    private fun ignoringFencing(
        seed: Long,
        holder: LeaseSettings = settings,
        successor: LeaseSettings = holder,
    ) = LeaseSimulation(seed, holder, honoursFencing = false, settings.margin, successor)

    private fun honouringFencing(
        seed: Long,
        honours: Boolean = true,
    ) = LeaseSimulation(seed, settings, honours, MAX_SEND_DELAY)

    @Nested
    inner class `over pauses, lost responses, late writes and stale reads` {
        @Test
        fun `an engine that ignores fencing gets no order from a lapsed holder`() {
            val totals = schedules { ignoringFencing(it) }

            expectThat(totals.violations).isEmpty()
            expectThat(totals.accepted).isGreaterThan(SCHEDULES)
        }

        @Test
        fun `an engine that honours fencing refuses orders of a lapsed holder, however late they are sent`() {
            val totals = schedules { honouringFencing(it) }

            expectThat(totals.violations).isEmpty()
            expectThat(totals.accepted).isGreaterThan(SCHEDULES)
        }
    }

    @Nested
    inner class `the property is violated` {
        @Test
        fun `without the margin`() {
            val withoutMargin = settings.copy(margin = Duration.ZERO)

            expectThat(schedules { ignoringFencing(it, withoutMargin) }.violations.size).isGreaterThan(0)
        }

        @Test
        fun `without fencing`() {
            expectThat(schedules { honouringFencing(it, honours = false) }.violations.size).isGreaterThan(0)
        }

        @Test
        fun `if a successor doesn't wait for the end of the term`() {
            val shortTerm = settings.copy(term = 3.seconds, renewInterval = 1.seconds, margin = 1.seconds)

            expectThat(schedules { ignoringFencing(it, settings, shortTerm) }.violations.size).isGreaterThan(0)
        }
    }

    private companion object {
        const val SCHEDULES = 200
        val SPAN: Duration = 10.minutes
        val MAX_SEND_DELAY: Duration = 2.minutes
    }
}
