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

    /** Runs every schedule of the fixed seed on models that [create] makes. */
    private fun schedules(create: (Long) -> LeaseModel): Totals {
        val violations = mutableListOf<String>()
        var accepted = 0
        runBlocking {
            checkAll(PropTestConfig(seed = 7_5, iterations = SCHEDULES), Arb.long()) { seed ->
                val model = create(seed)
                model.run(SPAN)
                violations += model.violations.map { "seed $seed: $it" }
                accepted += model.accepted
            }
        }
        return Totals(violations, accepted)
    }

    private fun ignoring(
        seed: Long,
        holder: LeaseSettings = settings,
        successor: LeaseSettings = holder,
    ) = LeaseModel(seed, holder, honoursFencing = false, settings.margin, successor)

    private fun honouring(
        seed: Long,
        honours: Boolean = true,
    ) = LeaseModel(seed, settings, honours, LONG_PAUSE)

    @Nested
    inner class `over pauses, lost answers, late writes and stale reads` {
        @Test
        fun `an engine that ignores fencing gets no order of a lapsed holder`() {
            val totals = schedules { ignoring(it) }

            expectThat(totals.violations).isEmpty()
            expectThat(totals.accepted).isGreaterThan(SCHEDULES)
        }

        @Test
        fun `an engine that honours fencing obeys none, however long the holder hesitates`() {
            val totals = schedules { honouring(it) }

            expectThat(totals.violations).isEmpty()
            expectThat(totals.accepted).isGreaterThan(SCHEDULES)
        }
    }

    @Nested
    inner class `the property fails` {
        @Test
        fun `with the margin switched off`() {
            val careless = settings.copy(margin = Duration.ZERO)

            expectThat(schedules { ignoring(it, careless) }.violations.size).isGreaterThan(0)
        }

        @Test
        fun `with fencing switched off`() {
            expectThat(schedules { honouring(it, honours = false) }.violations.size).isGreaterThan(0)
        }

        @Test
        fun `with a successor that doesn't wait out the term`() {
            val hasty = settings.copy(term = 3.seconds, renewInterval = 1.seconds, margin = 1.seconds)

            expectThat(schedules { ignoring(it, settings, hasty) }.violations.size).isGreaterThan(0)
        }
    }

    private companion object {
        const val SCHEDULES = 200
        val SPAN: Duration = 10.minutes
        val LONG_PAUSE: Duration = 2.minutes
    }
}
