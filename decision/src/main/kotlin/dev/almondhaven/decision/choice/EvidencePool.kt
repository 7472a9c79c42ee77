package dev.almondhaven.decision.choice

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.TaskClass
import java.util.TreeMap

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
 * idempotent; a bucket that is older than [OPEN_BUCKETS] is sealed: only the sum over routers stays, and late readings
 * of it are dropped, so that memory doesn't grow with the fleet. Not safe for use by several threads.
 */
public class EvidencePool(
    private val self: RouterId,
) {
    private val open = HashMap<EvidenceCell, Tally>()
    private val fleet = HashMap<EvidenceSubject, TreeMap<Long, Tally>>()
    private val cumulativeTallies = HashMap<EvidenceSubject, Tally>()
    private val ownCumulativeTallies = HashMap<EvidenceSubject, Tally>()
    private val pendingGossip = LinkedHashMap<EvidenceCell, Int>()
    private var firstOpenBucket = 0L

    /** Open cells; what merging works on. */
    public val cells: Map<EvidenceCell, Tally> get() = open

    /** The fleet's evidence; it changes along with the pool. */
    public val totals: EvidenceTotals = EvidenceTotals(fleet)

    /** Everything that has come in by subject, whatever its bucket. */
    public val cumulative: Map<EvidenceSubject, Tally> get() = cumulativeTallies

    /** What this router has counted itself by subject, whatever its bucket. */
    public val ownCumulative: Map<EvidenceSubject, Tally> get() = ownCumulativeTallies

    /** Changes this router's own tally of [subject] in the bucket of [epochMillis]. */
    public fun record(
        subject: EvidenceSubject,
        epochMillis: Long,
        change: (Tally) -> Tally,
    ) {
        val bucket = maxOf(bucketOf(epochMillis), firstOpenBucket)
        val cell = EvidenceCell(self, subject, bucket)
        replace(cell, change(open[cell] ?: Tally.EMPTY))
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
        replace(cell, held?.merge(tally) ?: tally)
        return true
    }

    /** Seals buckets that have become old at [epochMillis] and forgets those past their use. */
    public fun advance(epochMillis: Long) {
        val first = bucketOf(epochMillis) - OPEN_BUCKETS + 1
        if (first <= firstOpenBucket) return
        firstOpenBucket = first
        open.keys.removeIf { it.bucket < first }
        pendingGossip.keys.removeIf { it.bucket < first }
        val oldest = first - KEPT_BUCKETS
        fleet.values.forEach { it.headMap(oldest).clear() }
        fleet.values.removeIf { it.isEmpty() }
        cumulativeTallies.keys.retainAll(fleet.keys)
        ownCumulativeTallies.keys.retainAll(fleet.keys)
    }

    /** Up to [count] cells to tell a peer, those that changed longest ago first, [urgent] ones before the rest. */
    public fun nextToGossip(
        count: Int,
        urgent: (EvidenceSubject) -> Boolean = { true },
    ): List<Pair<EvidenceCell, Tally>> {
        val first =
            pendingGossip.keys
                .asSequence()
                .filter { urgent(it.subject) }
                .take(count)
                .toList()
        val missing = count - first.size
        val rest =
            pendingGossip.keys
                .asSequence()
                .filterNot { urgent(it.subject) }
                .take(missing)
                .toList()
        val chosen = first + rest
        chosen.forEach { told(it) }
        return chosen.mapNotNull { cell -> open[cell]?.let { cell to it } }
    }

    private fun replace(
        cell: EvidenceCell,
        tally: Tally,
    ) {
        val grown = tally - (open.put(cell, tally) ?: Tally.EMPTY)
        fleet.getOrPut(cell.subject) { TreeMap() }.merge(cell.bucket, grown) { left, right -> left + right }
        cumulativeTallies.merge(cell.subject, grown) { left, right -> left + right }
        if (cell.origin == self) ownCumulativeTallies.merge(cell.subject, grown) { left, right -> left + right }
        pendingGossip.putIfAbsent(cell, GOSSIP_REPEATS)
        pendingGossip.replace(cell, GOSSIP_REPEATS)
    }

    private fun told(cell: EvidenceCell) {
        val left = (pendingGossip.remove(cell) ?: return) - 1
        if (left > 0) pendingGossip[cell] = left
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

        /** Peers that hear of each change from this router. */
        private const val GOSSIP_REPEATS = 4

        /** The bucket of [epochMillis]. */
        public fun bucketOf(epochMillis: Long): Long = Math.floorDiv(epochMillis, BUCKET_MILLIS)
    }
}
