package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of a [BillingOutbox].
 *
 * @property maxRecords most records kept while the platform is down; further ones overflow.
 * @property sealAfter longest time that a record waits for others before its batch is sealed and copied to a peer.
 * @property initialResendDelay least time before an unstored batch is sent to a writer again; doubles up to [maxResendDelay].
 */
public data class OutboxLimits(
    public val maxRecords: Int = 60_000,
    public val maxBatchRecords: Int = 500,
    public val sealAfter: Duration = 250.milliseconds,
    public val initialResendDelay: Duration = 5.seconds,
    public val maxResendDelay: Duration = 60.seconds,
)

/**
 * The records of one router that the platform doesn't hold yet. A batch stays until it is known to be stored, and is
 * sent again from time to time until then. Not safe for use from several threads.
 */
public class BillingOutbox(
    private val self: RouterId,
    private val limits: OutboxLimits = OutboxLimits(),
) {
    private class Unstored(
        val batch: SealedBatch,
        var sendAt: Long,
        var pause: Duration,
        var holder: RouterId? = null,
    )

    private val open = ArrayList<BillingRecord>()
    private val unstored = LinkedHashMap<BatchName, Unstored>()
    private var openedAt = 0L
    private var sealed = 0L

    /** Records held, sealed or not. */
    @Volatile
    public var held: Int = 0
        private set

    /** Records that found no room and are lost. */
    @Volatile
    public var overflowed: Long = 0
        private set

    /** Takes [record] at monotonic time [now]; false if there is no room. */
    public fun add(
        record: BillingRecord,
        now: Long,
    ): Boolean {
        if (held >= limits.maxRecords) {
            overflowed++
            return false
        }
        if (open.isEmpty()) openedAt = now
        open += record
        held++
        return true
    }

    /** Seals what is open if it is large or old enough, or if [force]; the new batch, to be copied to a peer. */
    public fun seal(
        now: Long,
        wallMillis: Long,
        force: Boolean = false,
    ): SealedBatch? {
        val due = open.size >= limits.maxBatchRecords || now - openedAt >= limits.sealAfter.inWholeNanoseconds
        if (open.isEmpty() || !(due || force)) return null
        sealed++
        val batch = SealedBatch(BatchName(self, sealed), wallMillis, open.take(limits.maxBatchRecords))
        open.subList(0, batch.records.size).clear()
        openedAt = now
        unstored[batch.name] = Unstored(batch, now, limits.initialResendDelay)
        return batch
    }

    /** Takes over a sealed [batch] of a router that is gone, whatever room there is. */
    public fun adopt(
        batch: SealedBatch,
        now: Long,
    ) {
        if (batch.name in unstored) return
        unstored[batch.name] = Unstored(batch, now, limits.initialResendDelay)
        held += batch.records.size
    }

    /** The batches of which no router among [live] is known to hold a copy, oldest first. */
    public fun withoutCopy(
        live: Set<RouterId>,
        most: Int,
    ): List<SealedBatch> =
        unstored.values
            .asSequence()
            .filter { it.holder == null || it.holder !in live }
            .map { it.batch }
            .take(most)
            .toList()

    /** The sealed batches that the platform isn't known to hold, oldest first. */
    public fun unstored(): List<SealedBatch> = unstored.values.map { it.batch }

    /** Reports that [holder] has a copy of the batch [name]. */
    public fun markCopied(
        name: BatchName,
        holder: RouterId,
    ) {
        unstored[name]?.holder = holder
    }

    /** The batches to send to a writer at [now], oldest first; each comes back later unless it is stored. */
    public fun takeDue(
        now: Long,
        most: Int,
    ): List<SealedBatch> {
        val due = unstored.values.filter { now - it.sendAt >= 0 }.take(most)
        due.forEach {
            it.sendAt = now + it.pause.inWholeNanoseconds
            it.pause = minOf(it.pause * 2, limits.maxResendDelay)
        }
        return due.map { it.batch }
    }

    /** Reports that the platform holds the batch [name]; true if it was waited for. */
    public fun markStored(name: BatchName): Boolean {
        val batch = unstored.remove(name) ?: return false
        held -= batch.batch.records.size
        return true
    }

    /** Makes every waiting batch due at [now]: the platform has just stored something, so an outage is over. */
    public fun resetResendDelays(now: Long) {
        unstored.values.filter { it.pause > limits.initialResendDelay * 2 }.forEach {
            it.sendAt = now
            it.pause = limits.initialResendDelay
        }
    }

    /** Makes every batch due at [now], whenever it was last sent. */
    public fun resendAllNow(now: Long): Unit = unstored.values.forEach { it.sendAt = now }
}
