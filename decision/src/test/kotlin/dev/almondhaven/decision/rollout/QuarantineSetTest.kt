package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.version
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RouterId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class QuarantineSetTest {
    private val versions = (0..3).map { version("$it", definedIn = 3) }

    private fun quarantine(
        index: Int,
        at: Int = 100,
        logEvidence: Double = 10.0,
    ): Quarantine {
        val evidence =
            TrialEvidence(TrialMeasure.ERROR_RATE, TrialReference.PREDECESSOR, logEvidence, 8.0, 50, 0.4, 60, 0.01)
        return Quarantine(versions[index].id, Generation(3), at.toLong(), RouterId("r$at"), evidence)
    }

    @Nested
    inner class `merging quarantines` {
        private val sets =
            Arb
                .list(Arb.bind(Arb.int(0, 3), Arb.int(0, 5)) { index, at -> quarantine(index, at) }, 0..8)
                .map { QuarantineSet.of(it) }

        @Test
        fun `is commutative, associative and idempotent`() =
            runBlocking<Unit> {
                checkAll(PropTestConfig(seed = 11), sets, sets, sets) { first, second, third ->
                    expectThat(first.merge(second)).isEqualTo(second.merge(first))
                    expectThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)))
                    expectThat(first.merge(first)).isEqualTo(first)
                }
            }
    }

    @Nested
    inner class `a quarantine` {
        @Test
        fun `excludes its version`() {
            val set = QuarantineSet.of(listOf(quarantine(1)))

            expectThat(set.usable(versions)).containsExactly(versions[0], versions[2], versions[3])
        }

        @Test
        fun `leaves the version with the least evidence against it if all are in quarantine`() {
            val set = QuarantineSet.of((0..3).map { quarantine(it, logEvidence = 20.0 - it) })

            expectThat(set.usable(versions)).containsExactly(versions[3])
        }

        @Test
        fun `ends when a newer note redefines its version`() {
            val set = QuarantineSet.of(listOf(quarantine(1)))
            val redefined = versions[1].copy(definedIn = Generation(4))

            expectThat(set.contains(versions[1])).isTrue()
            expectThat(set.contains(redefined)).isFalse()
            expectThat(set.withoutSuperseded { Generation(4) }.isEmpty).isTrue()
        }

        @Test
        fun `of a definition that has not arrived yet is kept`() {
            val set = QuarantineSet.of(listOf(quarantine(1)))

            expectThat(set.withoutSuperseded { Generation(2) }).isEqualTo(set)
        }
    }
}
