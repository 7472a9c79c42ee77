package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

class BillingPropertyTest {
    private fun simulations(omitted: OmittedBilling = OmittedBilling.NOTHING) =
        (1L..SCHEDULES).asSequence().map { BillingSimulation(it, omitted).run() }

    private fun record(
        request: String,
        tokens: Long = 1,
    ) = BillingRecord(RequestId(request), OrganisationId("roofers"), endedAt = 1, promptTokens = tokens)

    private fun batch(
        number: Long,
        vararg records: BillingRecord,
    ) = SealedBatch(BatchName(RouterId("a"), number), 1, records.toList())

    @Nested
    inner class `over thousands of schedules of faults` {
        @Test
        fun `every request whose batch was sealed is billed once`() {
            val wrong =
                simulations().flatMap { simulation ->
                    simulation.unbilled.map { "unbilled $it" } +
                        simulation.statement.conflictingRequests.map { "conflicting $it" }
                }

            expectThat(wrong.toList()).isEmpty()
        }

        @Test
        fun `routers are lost`() {
            expectThat(simulations().take(100).sumOf { it.losses }).isGreaterThan(100)
        }
    }

    @Nested
    inner class `the property fails` {
        @Test
        fun `without the copy with a peer`() {
            expectThat(simulations(OmittedBilling.COPY_WITH_PEER).any { it.unbilled.isNotEmpty() }).isTrue()
        }

        @Test
        fun `without sending again`() {
            expectThat(simulations(OmittedBilling.RESEND).any { it.unbilled.isNotEmpty() }).isTrue()
        }

        @Test
        fun `without one name for a batch and its records`() {
            expectThat(simulations(OmittedBilling.ONE_NAME_PER_BATCH).any { it.unbilled.isNotEmpty() }).isTrue()
        }
    }

    @Nested
    inner class `a statement` {
        @Test
        fun `counts repeats once and lists unlike records`() {
            val first = batch(1, record("one"), record("two"))
            val second = batch(2, record("two"), record("one", tokens = 5))

            val statement =
                BillingStatement.of(sequenceOf(BillingObject(listOf(first, second)), BillingObject(listOf(first))))

            expectThat(statement)
                .isEqualTo(BillingStatement(listOf(record("one"), record("two")), 1, 1, listOf(RequestId("one"))))
        }
    }

    @Nested
    inner class `an outbox` {
        @Test
        fun `that waits long between tries sends again as soon as the platform stores anything`() {
            val outbox = BillingOutbox(RouterId("a"))
            outbox.add(record("one"), now = 0)
            val batch = outbox.seal(now = 0, wallMillis = 1, force = true)!!
            val tries = listOf(0L, 5L, 15L, 35L).map { outbox.takeDue(it * SECOND, most = 1).size }
            val before = outbox.takeDue(40 * SECOND, most = 1)

            outbox.resetResendDelays(40 * SECOND)

            expectThat(tries to before).isEqualTo(listOf(1, 1, 1, 1) to emptyList())
            expectThat(outbox.takeDue(40 * SECOND, most = 1)).isEqualTo(listOf(batch))
        }

        @Test
        fun `keeps an hour of records at the two-year rate and states what overflows`() {
            val outbox = BillingOutbox(RouterId("a"))
            val kept = (1..70_000).count { outbox.add(record("$it"), now = 0) }

            expectThat(listOf(kept, outbox.held, outbox.overflowed.toInt())).isEqualTo(listOf(60_000, 60_000, 10_000))
        }
    }

    private companion object {
        const val SCHEDULES = 2_000L
        const val SECOND = 1_000_000_000L
    }
}
