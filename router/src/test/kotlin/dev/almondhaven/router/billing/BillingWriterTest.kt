package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.InMemoryObjectStore
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

class BillingWriterTest {
    private val store = BillingStore(InMemoryObjectStore())
    private val batches = (1L..3L).map { SealedBatch(BatchName(RouterId("other"), it), sealedAt = 0, emptyList()) }

    @Nested
    inner class `a writer that is closed between two writes` {
        @Test
        fun `stores the batches that it has accepted from other routers`() {
            val firstWrite = CountDownLatch(1)
            val writer = BillingWriter(store, writeInterval = 1.seconds, maxRecords = 1_000) { firstWrite.countDown() }
            writer.offer(batches.first())
            firstWrite.await()
            batches.drop(1).forEach(writer::offer)
            writer.close()

            val stored = store.readAll().getOrNull().orEmpty()
            expectThat(stored.flatMap { it.batches }).isEqualTo(batches)
        }
    }
}
