package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.catalogue.RollOutStep
import dev.almondhaven.decision.choice.version
import dev.almondhaven.model.VersionId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class RollOutAssignmentTest {
    private val steps = listOf(RollOutStep(0.1, 10), RollOutStep(0.5, 20))
    private val old = version("model")
    private val new = old.copy(version = VersionId("2"), rollOut = RollOut(old.version, startedAt = 1_000, steps))
    private val keys = (1..2_000).map { "session-$it" }

    @Test
    fun `the share follows the steps and then reaches all sessions`() {
        val minutes = listOf(-1L, 0L, 9L, 10L, 29L, 30L)

        expectThat(minutes.map { RollOutAssignment.share(new.rollOut!!, 1_000 + it * 60_000) })
            .containsExactly(0.0, 0.1, 0.1, 0.5, 0.5, 1.0)
    }

    @Test
    fun `a version is assigned about its share of the sessions and keeps them`() {
        val first = keys.filter { RollOutAssignment.includes(new, it, 2_000) }
        val second = keys.filter { RollOutAssignment.includes(new, it, 1_000 + 15 * 60_000) }

        expectThat(first.size).isGreaterThan(140).isLessThan(260)
        expectThat(second.containsAll(first)).isEqualTo(true)
    }

    @Test
    fun `each session may use exactly one of the two versions`() {
        expectThat(keys.map { RollOutAssignment.eligible(listOf(old, new), it, 2_000).size }.toSet()).containsExactly(1)
    }

    @Test
    fun `an organisation that may not use the old version always gets the new one`() {
        expectThat(RollOutAssignment.eligible(listOf(new), keys.first(), 0)).containsExactly(new)
    }
}
