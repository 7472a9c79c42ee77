package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.LogEvent
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.PlatformError
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Stores the batches of several routers in as few objects as possible. The batches of a failed write stay together
 * until a write succeeds: the object name is derived from the batches, so a retry uses the same name and has no effect
 * if the first write did succeed.
 */
internal class BillingWriter(
    private val store: BillingStore,
    writeInterval: Duration,
    private val maxRecords: Int,
    private val onStored: (List<BatchName>) -> Unit,
) : AutoCloseable {
    private val queuedBatches = LinkedHashMap<BatchName, SealedBatch>()
    private var writingBatches: List<SealedBatch> = emptyList()
    private var queuedRecords = 0

    @Volatile
    private var unwrittenBatches = 0
    private val actor = ActorThread.start("billing-store", MAILBOX_CAPACITY, writeInterval, ::write, ::accept)

    /** Queues [batch] to be stored; false if the mailbox is full. */
    fun offer(batch: SealedBatch): Boolean = actor.offer(batch)

    /** Number of accepted batches that are not stored yet. */
    val unwritten: Int get() = unwrittenBatches + actor.waiting

    /**
     * Writes all accepted batches before it stops. That includes those of other routers, which may stop before they
     * send their batches again.
     */
    override fun close() {
        actor.stop()
        do {
            write()
        } while (queuedBatches.isNotEmpty() && writingBatches.isEmpty())
    }

    private fun accept(batch: SealedBatch) {
        if (queuedRecords + batch.records.size > maxRecords) return
        if (queuedBatches.putIfAbsent(batch.name, batch) == null) queuedRecords += batch.records.size
        unwrittenBatches = queuedBatches.size
    }

    private fun write() {
        if (writingBatches.isEmpty()) writingBatches = nextObjectBatches()
        if (writingBatches.isEmpty()) return
        val error = store.store(BillingObject(writingBatches)).leftOrNull()
        if (error != null) return logFailure(error)
        writingBatches.forEach { queuedBatches.remove(it.name) }
        queuedRecords -= writingBatches.sumOf { it.records.size }
        unwrittenBatches = queuedBatches.size
        onStored(writingBatches.map { it.name })
        writingBatches = emptyList()
    }

    private fun nextObjectBatches(): List<SealedBatch> {
        var records = 0
        return queuedBatches.values.takeWhile { batch ->
            records += batch.records.size
            records <= MAX_RECORDS_PER_OBJECT
        }
    }

    private fun logFailure(error: PlatformError) {
        LogEvent.BILLING_WRITE_FAILED.log(logger) { "batches=${writingBatches.size} error=$error" }
    }

    private companion object {
        const val MAILBOX_CAPACITY = 4_096

        /** A record takes at most 220 bytes, so an object stays below the platform's limit of 1 MB. */
        const val MAX_RECORDS_PER_OBJECT = 4_000
    }
}
