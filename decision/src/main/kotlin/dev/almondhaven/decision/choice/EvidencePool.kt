package dev.almondhaven.decision.choice

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.TaskClass

/**
 * What a tally is about. A version that a note defines anew starts with new evidence.
 *
 * @property definedIn generation that introduced the version's current definition.
 */
public data class EvidenceSubject(
    public val version: ModelVersionId,
    public val definedIn: Generation,
    public val taskClass: TaskClass,
)

/** One router's tally of one subject in one time bucket: the unit that routers exchange. */
public data class EvidenceCell(
    public val origin: RouterId,
    public val subject: EvidenceSubject,
    public val bucket: Long,
)

/**
 * Evidence of all routers. Recent buckets are kept per router, so that merging is commutative, associative and
 * idempotent; a bucket that is older than [OPEN_BUCKETS] is sealed: summed over routers, and closed to late readings,
 * so that memory doesn't grow with the fleet. Not safe for use by several threads.
 */
public class EvidencePool(
    private val self: RouterId,
) {
    private val open = HashMap<EvidenceCell, Tally>()
    private val sealed = HashMap<EvidenceSubject, java.util.TreeMap<Long, Tally>>()
    private val dirty = LinkedHashSet<EvidenceCell>()
    private var firstOpenBucket = 0L

    /** Open cells; what merging works on. */
    public val cells: Map<EvidenceCell, Tally> get() = open

    /** Changes this router's own tally of [subject] in the bucket of [epochMillis]. */
    public fun record(
        subject: EvidenceSubject,
        epochMillis: Long,
        change: (Tally) -> Tally,
    ) {
        val bucket = maxOf(bucketOf(epochMillis), firstOpenBucket)
        val cell = EvidenceCell(self, subject, bucket)
        open[cell] = change(open[cell] ?: Tally.EMPTY)
        markDirty(cell)
    }

    /** Takes another reading of [cell]; returns whether it held anything new. */
    public fun merge(
        cell: EvidenceCell,
        tally: Tally,
    ): Boolean {
        if (cell.bucket < firstOpenBucket) return false
        val held = open[cell]
        if (held != null && held.covers(tally)) return false
        if (held == null && open.size >= MAXIMUM_OPEN_CELLS) return false
        open[cell] = held?.merge(tally) ?: tally
        markDirty(cell)
        return true
    }

    /** Seals buckets that have become old at [epochMillis] and forgets those past their use. */
    public fun advance(epochMillis: Long) {
        val first = bucketOf(epochMillis) - OPEN_BUCKETS + 1
        if (first <= firstOpenBucket) return
        firstOpenBucket = first
        val closing = open.entries.filter { it.key.bucket < first }
        for ((cell, tally) in closing) {
            val buckets = sealed.getOrPut(cell.subject) { java.util.TreeMap() }
            buckets.merge(cell.bucket, tally) { left, right -> left + right }
            open.remove(cell)
            dirty.remove(cell)
        }
        val oldest = first - KEPT_BUCKETS
        sealed.values.forEach { it.headMap(oldest).clear() }
        sealed.values.removeIf { it.isEmpty() }
    }

    /** Every subject with evidence. */
    public fun subjects(): Set<EvidenceSubject> = sealed.keys + open.keys.map { it.subject }

    /** The fleet's tally by subject and bucket, open buckets included. */
    public fun totals(): EvidenceTotals {
        val totals = HashMap<EvidenceSubject, HashMap<Long, Tally>>()
        for ((subject, buckets) in sealed) totals[subject] = HashMap(buckets)
        for ((cell, tally) in open) {
            totals
                .getOrPut(cell.subject) { HashMap() }
                .merge(cell.bucket, tally) { left, right -> left + right }
        }
        return EvidenceTotals(totals)
    }

    /**
     * Up to [count] cells to tell others: changed ones first, in the order of change, [urgent] ones before the rest;
     * each call goes on where the last one ended.
     */
    public fun nextToTell(
        count: Int,
        urgent: (EvidenceSubject) -> Boolean = { false },
    ): List<Pair<EvidenceCell, Tally>> {
        val first =
            dirty
                .asSequence()
                .filter { urgent(it.subject) }
                .take(count)
                .toList()
        val rest =
            dirty
                .asSequence()
                .filterNot { urgent(it.subject) }
                .take(count - first.size)
                .toList()
        val chosen = first + rest
        dirty.removeAll(chosen.toSet())
        return chosen.mapNotNull { cell -> open[cell]?.let { cell to it } }
    }

    /** Marks this router's own cells to be told again, so that a lost message is made up for. */
    public fun repeatOwn() {
        open.keys.filter { it.origin == self }.forEach { markDirty(it) }
    }

    private fun markDirty(cell: EvidenceCell) {
        dirty.add(cell)
    }

    public companion object {
        /** Length of a bucket in milliseconds. */
        public const val BUCKET_MILLIS: Long = 600_000

        /** Buckets that are kept per router. */
        public const val OPEN_BUCKETS: Long = 2

        /** Sealed buckets that are kept: two days. */
        public const val KEPT_BUCKETS: Long = 288

        /** Bound on memory, about 400 bytes a cell. */
        public const val MAXIMUM_OPEN_CELLS: Int = 60_000

        /** The bucket of [epochMillis]. */
        public fun bucketOf(epochMillis: Long): Long = Math.floorDiv(epochMillis, BUCKET_MILLIS)
    }
}
