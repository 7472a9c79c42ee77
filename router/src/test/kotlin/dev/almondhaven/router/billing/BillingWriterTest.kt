package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import dev.almondhaven.platform.BillingStore
import dev.almondhaven.platform.InMemoryObjectStore
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.minutes

class BillingWriterTest {
    private val store = BillingStore(InMemoryObjectStore())
    private val batches = (1L..3L).map { SealedBatch(BatchName(RouterId("other"), it), sealedAt = 0, emptyList()) }

    @Nested
    inner class `a writer that is closed between two writes` {
        @Test
        fun `stores the batches it has taken from other routers`() {
            val writer = BillingWriter(store, writeInterval = 10.minutes, mostRecords = 1_000) {}
            batches.forEach(writer::offer)
            writer.close()

            val stored = store.readAll().getOrNull().orEmpty()
            expectThat(stored.flatMap { it.batches }).isEqualTo(batches)
        }
    }
}
