package dev.almondhaven.decision.choice

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class EvidencePoolTest {
    private val subject =
        EvidenceSubject(ModelVersionId.parse("slate@1"), Generation(1), TaskClassifier.QUERY)

    private fun cell(
        origin: Int,
        bucket: Long = 1,
    ): EvidenceCell = EvidenceCell(RouterId("r$origin"), subject, bucket)

    private fun tally(requests: Int): Tally =
        (1..requests).fold(Tally.EMPTY) { tally, number -> tally.plusRequest(number % 3 == 0, 20.0, null) }

    private fun pool(vararg tallies: Pair<EvidenceCell, Tally>): EvidencePool =
        EvidencePool(RouterId("self")).also { pool -> tallies.forEach { (cell, tally) -> pool.merge(cell, tally) } }

    @Nested
    inner class `merging evidence` {
        private val tallies =
            Arb.list(Arb.bind(Arb.int(0, 4), Arb.int(0, 20)) { origin, count -> cell(origin) to tally(count) }, 0..20)

        @Test
        fun `is commutative and idempotent`() =
            runBlocking<Unit> {
                checkAll(PropTestConfig(seed = 7), tallies) { all ->
                    val once = pool(*all.toTypedArray())
                    val twiceReversed = pool(*(all.reversed() + all).toTypedArray())

                    expectThat(twiceReversed.cells).isEqualTo(once.cells)
                    expectThat(twiceReversed.totals.buckets(subject)).isEqualTo(once.totals.buckets(subject))
                }
            }

        @Test
        fun `is associative`() =
            runBlocking<Unit> {
                checkAll(PropTestConfig(seed = 8), tallies, tallies, tallies) { first, second, third ->
                    val left =
                        pool(
                            *pool(*(first + second).toTypedArray()).cells.toList().toTypedArray(),
                            *third.toTypedArray(),
                        )
                    val right =
                        pool(
                            *first.toTypedArray(),
                            *pool(*(second + third).toTypedArray()).cells.toList().toTypedArray(),
                        )

                    expectThat(left.cells).isEqualTo(right.cells)
                }
            }

        @Test
        fun `drops a tally of a sealed bucket`() {
            val pool = pool(cell(1) to tally(4))
            pool.advance(5 * EvidencePool.BUCKET_MILLIS)

            expectThat(pool.merge(cell(2), tally(9))).isFalse()
            expectThat(pool.totals.buckets(subject)).isEqualTo(mapOf(1L to tally(4)))
        }
    }

    @Nested
    inner class `gossiping evidence` {
        @Test
        fun `sends each change a few times and then stops`() {
            val pool = pool(cell(1) to tally(4))

            expectThat((1..6).map { pool.nextToGossip(10).size }).isEqualTo(listOf(1, 1, 1, 1, 0, 0))
        }

        @Test
        fun `restores a tally from its text`() {
            expectThat(Tally.parseOrNull(tally(17).toText())).isEqualTo(tally(17))
        }

        @Test
        fun `rejects malformed text`() {
            expectThat(listOf("x", "1:", "0:-5").all { Tally.parseOrNull(it) == null }).isTrue()
        }
    }
}
