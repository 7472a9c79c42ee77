package dev.almondhaven.decision.choice

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.TaskClass
import java.util.TreeMap

/**
 * The subject of a tally: one version's answers in one task class. A version that a configuration note redefines starts
 * without evidence.
 *
 * @property definedIn configuration generation that introduced the version's current definition.
 */
public data class EvidenceSubject(
    public val version: ModelVersionId,
    public val definedIn: Generation,
    public val taskClass: TaskClass,
)

/** Key of one router's tally of one subject in one time bucket, the unit that routers exchange by gossip. */
public data class EvidenceCell(
    public val origin: RouterId,
    public val subject: EvidenceSubject,
    public val bucket: Long,
)

/**
 * Evidence about model versions from all routers, replicated by gossip. In recent time buckets each router has its
 * own tally, which makes merging commutative, associative and idempotent. A bucket older than [OPEN_BUCKETS] buckets
 * is sealed: only the sum over all routers is kept and late tallies for it are dropped, so that memory doesn't grow
 * with the fleet. Not thread-safe.
 */
public class EvidencePool(
    private val self: RouterId,
) {
    private val openCells = HashMap<EvidenceCell, Tally>()
    private val fleetTallies = HashMap<EvidenceSubject, TreeMap<Long, Tally>>()
    private val cumulativeTallies = HashMap<EvidenceSubject, Tally>()
    private val ownCumulativeTallies = HashMap<EvidenceSubject, Tally>()
    private val pendingGossip = LinkedHashMap<EvidenceCell, Int>()
    private var firstOpenBucket = 0L

    /** Tallies of the buckets that are not yet sealed; only these can be merged. */
    public val cells: Map<EvidenceCell, Tally> get() = openCells

    /** Evidence summed over all routers; a live view of the pool. */
    public val totals: EvidenceTotals = EvidenceTotals(fleetTallies)

    /** Cumulative tallies by subject of all evidence received, regardless of its bucket. */
    public val cumulative: Map<EvidenceSubject, Tally> get() = cumulativeTallies

    /** Cumulative tallies by subject of this router's own observations, regardless of their bucket. */
    public val ownCumulative: Map<EvidenceSubject, Tally> get() = ownCumulativeTallies

    /** Applies [change] to this router's own tally of [subject] in the bucket of [epochMillis]. */
    public fun record(
        subject: EvidenceSubject,
        epochMillis: Long,
        change: (Tally) -> Tally,
    ) {
        val bucket = maxOf(bucketOf(epochMillis), firstOpenBucket)
        val cell = EvidenceCell(self, subject, bucket)
        replace(cell, change(openCells[cell] ?: Tally.EMPTY))
    }

    /** Merges a received [tally] of [cell]; returns whether the pool changed. */
    public fun merge(
        cell: EvidenceCell,
        tally: Tally,
    ): Boolean {
        if (cell.bucket < firstOpenBucket) return false
        val held = openCells[cell]
        if (held != null && held.covers(tally)) return false
        if (held == null && openCells.size >= MAXIMUM_OPEN_CELLS) return false
        replace(cell, held?.merge(tally) ?: tally)
        return true
    }

    /** Seals the buckets that are old enough at [epochMillis] and deletes those past their retention. */
    public fun advance(epochMillis: Long) {
        val newFirstOpenBucket = bucketOf(epochMillis) - OPEN_BUCKETS + 1
        if (newFirstOpenBucket <= firstOpenBucket) return
        firstOpenBucket = newFirstOpenBucket
        openCells.keys.removeIf { it.bucket < newFirstOpenBucket }
        pendingGossip.keys.removeIf { it.bucket < newFirstOpenBucket }
        val oldestKept = newFirstOpenBucket - KEPT_BUCKETS
        fleetTallies.values.forEach { it.headMap(oldestKept).clear() }
        fleetTallies.values.removeIf { it.isEmpty() }
        cumulativeTallies.keys.retainAll(fleetTallies.keys)
        ownCumulativeTallies.keys.retainAll(fleetTallies.keys)
    }

    /**
     * Up to [count] changed cells to send to a peer, [urgent] ones before the rest and, within each group, those that
     * changed the longest ago first.
     */
    public fun nextToGossip(
        count: Int,
        urgent: (EvidenceSubject) -> Boolean = { true },
    ): List<Pair<EvidenceCell, Tally>> {
        val urgentCells =
            pendingGossip.keys
                .asSequence()
                .filter { urgent(it.subject) }
                .take(count)
                .toList()
        val remaining = count - urgentCells.size
        val rest =
            pendingGossip.keys
                .asSequence()
                .filterNot { urgent(it.subject) }
                .take(remaining)
                .toList()
        val chosen = urgentCells + rest
        chosen.forEach { countSend(it) }
        return chosen.mapNotNull { cell -> openCells[cell]?.let { cell to it } }
    }

    private fun replace(
        cell: EvidenceCell,
        tally: Tally,
    ) {
        val increase = tally - (openCells.put(cell, tally) ?: Tally.EMPTY)
        fleetTallies.getOrPut(cell.subject) { TreeMap() }.merge(cell.bucket, increase) { left, right -> left + right }
        cumulativeTallies.merge(cell.subject, increase) { left, right -> left + right }
        if (cell.origin == self) ownCumulativeTallies.merge(cell.subject, increase) { left, right -> left + right }
        pendingGossip.putIfAbsent(cell, GOSSIP_REPEATS)
        pendingGossip.replace(cell, GOSSIP_REPEATS)
    }

    private fun countSend(cell: EvidenceCell) {
        val left = (pendingGossip.remove(cell) ?: return) - 1
        if (left > 0) pendingGossip[cell] = left
    }

    public companion object {
        /** Length of a time bucket in milliseconds. */
        public const val BUCKET_MILLIS: Long = 600_000

        /** Number of recent buckets with separate tallies per router. */
        public const val OPEN_BUCKETS: Long = 2

        /** Number of sealed buckets that are kept: two days. */
        public const val KEPT_BUCKETS: Long = 288

        /** Bounds memory; a cell takes about 400 bytes. */
        public const val MAXIMUM_OPEN_CELLS: Int = 60_000

        /** Number of times that this router sends each change to a peer. */
        private const val GOSSIP_REPEATS = 4

        /** The bucket that contains [epochMillis]. */
        public fun bucketOf(epochMillis: Long): Long = Math.floorDiv(epochMillis, BUCKET_MILLIS)
    }
}
