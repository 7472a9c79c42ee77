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
 * Stores the batches of several routers in few objects. A set of batches that was once written together stays together
 * until it is settled, so that a repeated write bears the same name and has no effect.
 */
internal class BillingWriter(
    private val store: BillingStore,
    writeInterval: Duration,
    private val mostRecords: Int,
    private val onStored: (List<BatchName>) -> Unit,
) : AutoCloseable {
    private val waiting = LinkedHashMap<BatchName, SealedBatch>()
    private var underWay: List<SealedBatch> = emptyList()
    private var waitingRecords = 0

    @Volatile
    private var unwrittenBatches = 0
    private val duty = ActorThread.start("billing-store", RING, writeInterval, ::write, ::take)

    /** Stores [batch] some time; false if it was not taken. */
    fun offer(batch: SealedBatch): Boolean = duty.offer(batch)

    /** Batches that were taken and are not stored yet. */
    val unwritten: Int get() = unwrittenBatches + duty.waiting

    /** Writes what was taken before it ends, other routers' batches too: they may stop before they ask again. */
    override fun close() {
        duty.stop()
        do {
            write()
        } while (waiting.isNotEmpty() && underWay.isEmpty())
    }

    private fun take(batch: SealedBatch) {
        if (waitingRecords + batch.records.size > mostRecords) return
        if (waiting.putIfAbsent(batch.name, batch) == null) waitingRecords += batch.records.size
        unwrittenBatches = waiting.size
    }

    private fun write() {
        if (underWay.isEmpty()) underWay = nextObject()
        if (underWay.isEmpty()) return
        val error = store.store(BillingObject(underWay)).leftOrNull()
        if (error != null) return failed(error)
        underWay.forEach { waiting.remove(it.name) }
        waitingRecords -= underWay.sumOf { it.records.size }
        unwrittenBatches = waiting.size
        onStored(underWay.map { it.name })
        underWay = emptyList()
    }

    private fun nextObject(): List<SealedBatch> {
        var records = 0
        return waiting.values.takeWhile { batch ->
            records += batch.records.size
            records <= OBJECT_RECORDS
        }
    }

    private fun failed(error: PlatformError) {
        LogEvent.BILLING_WRITE_FAILED.log(logger) { "batches=${underWay.size} error=$error" }
    }

    private companion object {
        const val RING = 4_096

        /** Records of at most 220 bytes each stay below the platform's limit of 1 MB. */
        const val OBJECT_RECORDS = 4_000
    }
}
