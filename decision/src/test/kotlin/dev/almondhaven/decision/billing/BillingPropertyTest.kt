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
    private fun simulations(omitted: OmittedBillingRule = OmittedBillingRule.NONE) =
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
    inner class `over thousands of random fault schedules` {
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
        fun `routers fail`() {
            expectThat(simulations().take(100).sumOf { it.failures }).isGreaterThan(100)
        }
    }

    @Nested
    inner class `the property is violated` {
        @Test
        fun `without the copy on a peer`() {
            expectThat(simulations(OmittedBillingRule.COPY_ON_PEER).any { it.unbilled.isNotEmpty() }).isTrue()
        }

        @Test
        fun `without resending`() {
            expectThat(simulations(OmittedBillingRule.RESEND).any { it.unbilled.isNotEmpty() }).isTrue()
        }

        @Test
        fun `if each send of a batch uses new names`() {
            expectThat(simulations(OmittedBillingRule.STABLE_NAMES).any { it.unbilled.isNotEmpty() }).isTrue()
        }
    }

    @Nested
    inner class `a statement` {
        @Test
        fun `counts duplicates once and lists conflicting records`() {
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
        fun `with grown resend delays resends as soon as the platform stores anything`() {
            val outbox = BillingOutbox(RouterId("a"))
            outbox.add(record("one"), now = 0)
            val batch = outbox.seal(now = 0, wallMillis = 1, force = true)!!
            val attempts = listOf(0L, 5L, 15L, 35L).map { outbox.takeDue(it * SECOND, limit = 1).size }
            val before = outbox.takeDue(40 * SECOND, limit = 1)

            outbox.resetResendDelays(40 * SECOND)

            expectThat(attempts to before).isEqualTo(listOf(1, 1, 1, 1) to emptyList())
            expectThat(outbox.takeDue(40 * SECOND, limit = 1)).isEqualTo(listOf(batch))
        }

        @Test
        fun `seals a record at once, or with others that come while a copy is on its way to the peer`() {
            val outbox = BillingOutbox(RouterId("a"))
            outbox.add(record("one"), now = 0)
            val first = outbox.seal(now = 0, wallMillis = 1, copyOnItsWay = false)
            outbox.add(record("two"), now = 1)
            outbox.add(record("three"), now = 2)
            val meanwhile = outbox.seal(now = 2, wallMillis = 1, copyOnItsWay = true)
            val next = outbox.seal(now = 3, wallMillis = 1, copyOnItsWay = false)

            expectThat(listOf(first, meanwhile, next))
                .isEqualTo(listOf(batch(1, record("one")), null, batch(2, record("two"), record("three"))))
        }

        @Test
        fun `keeps an hour of records at the two-year rate and counts those that overflow`() {
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
