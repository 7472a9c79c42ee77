package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Copies of other routers' batches. A copy is kept until the batch's router reports that the platform has stored it; if
 * that router is gone, the copy moves to this router's own outbox. A batch that is stored twice is billed once, so
 * moving it too early is safe. Not safe for use from several threads.
 */
public class PeerBatchCopies(
    private val maxRecords: Int = DEFAULT_MAX_RECORDS,
    private val orphanTimeout: Duration = 30.seconds,
) {
    private val copies = LinkedHashMap<BatchName, SealedBatch>()
    private val missingSince = HashMap<RouterId, Long>()

    /** Number of records held. */
    @Volatile
    public var records: Int = 0
        private set

    /** Stores a copy; false if there is no room. */
    public fun hold(batch: SealedBatch): Boolean {
        if (batch.name in copies) return true
        if (records + batch.records.size > maxRecords) return false
        copies[batch.name] = batch
        records += batch.records.size
        return true
    }

    /** Drops the copies of the batches [names], which are stored or moved. */
    public fun release(names: List<BatchName>) {
        names.forEach { name -> copies.remove(name)?.let { records -= it.records.size } }
    }

    /** Removes and returns the copies of routers that have been missing from [live] for [orphanTimeout] at [now]. */
    public fun takeOrphans(
        live: Set<RouterId>,
        now: Long,
    ): List<SealedBatch> {
        val missing = copies.keys.map { it.router }.toSet() - live
        missingSince.keys.retainAll(missing)
        missing.forEach { missingSince.putIfAbsent(it, now) }
        val gone = missingSince.filterValues { now - it >= orphanTimeout.inWholeNanoseconds }.keys
        return copies.values.filter { it.name.router in gone }.also { orphans -> release(orphans.map { it.name }) }
    }

    private companion object {
        const val DEFAULT_MAX_RECORDS = 60_000
    }
}
