package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Copies of other routers' batches, kept until their router says that the platform holds them, or is gone: then they
 * are handed over to this router's own outbox. Storing a batch twice bills it once, so handing over early is safe. Not
 * safe for use from several threads.
 */
public class PeerBatchCopies(
    private val mostRecords: Int = DEFAULT_MOST_RECORDS,
    private val patience: Duration = 30.seconds,
) {
    private val copies = LinkedHashMap<BatchName, SealedBatch>()
    private val missingSince = HashMap<RouterId, Long>()

    /** Records held. */
    @Volatile
    public var records: Int = 0
        private set

    /** Takes a copy; false if there is no room. */
    public fun hold(batch: SealedBatch): Boolean {
        if (batch.name in copies) return true
        if (records + batch.records.size > mostRecords) return false
        copies[batch.name] = batch
        records += batch.records.size
        return true
    }

    /** Drops the copies that their router said are stored. */
    public fun release(names: List<BatchName>) {
        names.forEach { name -> copies.remove(name)?.let { records -= it.records.size } }
    }

    /** Hands over the copies of routers that have been missing from [live] for longer than the patience at [now]. */
    public fun takeOrphans(
        live: Set<RouterId>,
        now: Long,
    ): List<SealedBatch> {
        val missing = copies.keys.map { it.router }.toSet() - live
        missingSince.keys.retainAll(missing)
        missing.forEach { missingSince.putIfAbsent(it, now) }
        val gone = missingSince.filterValues { now - it >= patience.inWholeNanoseconds }.keys
        return copies.values.filter { it.name.router in gone }.also { orphans -> release(orphans.map { it.name }) }
    }

    private companion object {
        const val DEFAULT_MOST_RECORDS = 60_000
    }
}
