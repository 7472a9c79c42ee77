package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of a [BillingOutbox].
 *
 * @property maxRecords most records kept, for example while the platform is down; further ones are lost.
 * @property maxBatchRecords most records in one batch.
 * @property sealAfter longest time that a record waits for others before its batch is sealed and copied to a peer.
 * @property initialResendDelay least time before an unstored batch is sent to a writer again; doubles up to
 * [maxResendDelay].
 */
public data class OutboxLimits(
    public val maxRecords: Int = 60_000,
    public val maxBatchRecords: Int = 500,
    public val sealAfter: Duration = 250.milliseconds,
    public val initialResendDelay: Duration = 5.seconds,
    public val maxResendDelay: Duration = 60.seconds,
)

/**
 * Holds the billing records of one router until the platform has stored them. A batch is resent with exponential
 * backoff until it is known to be stored. Not safe for use from several threads.
 */
public class BillingOutbox(
    private val self: RouterId,
    private val limits: OutboxLimits = OutboxLimits(),
) {
    private class Unstored(
        val batch: SealedBatch,
        var sendAt: Long,
        var resendDelay: Duration,
        var copyHolder: RouterId? = null,
    )

    private val openRecords = ArrayList<BillingRecord>()
    private val unstored = LinkedHashMap<BatchName, Unstored>()
    private var openedAt = 0L
    private var lastBatchNumber = 0L

    /** Number of records held, sealed or not. */
    @Volatile
    public var held: Int = 0
        private set

    /** Number of records lost because the outbox was full. */
    @Volatile
    public var overflowed: Long = 0
        private set

    /** Adds [record] at monotonic time [now]; false if the outbox is full. */
    public fun add(
        record: BillingRecord,
        now: Long,
    ): Boolean {
        if (held >= limits.maxRecords) {
            overflowed++
            return false
        }
        if (openRecords.isEmpty()) openedAt = now
        openRecords += record
        held++
        return true
    }

    /**
     * Seals the open records if they are enough or old enough, or if [force]; returns the batch to copy to a peer.
     * While [copyOnItsWay] to the peer, records wait for it so that the next copy takes them together; otherwise they
     * are sealed at once, since they are lost with this router until a peer has them.
     */
    public fun seal(
        now: Long,
        wallMillis: Long,
        force: Boolean = false,
        copyOnItsWay: Boolean = true,
    ): SealedBatch? {
        val due =
            !copyOnItsWay || openRecords.size >= limits.maxBatchRecords ||
                now - openedAt >= limits.sealAfter.inWholeNanoseconds
        if (openRecords.isEmpty() || !(due || force)) return null
        lastBatchNumber++
        val batch = SealedBatch(BatchName(self, lastBatchNumber), wallMillis, openRecords.take(limits.maxBatchRecords))
        openRecords.subList(0, batch.records.size).clear()
        openedAt = now
        unstored[batch.name] = Unstored(batch, now, limits.initialResendDelay)
        return batch
    }

    /** Takes over a sealed [batch] of a router that is gone, even if the outbox is full. */
    public fun adopt(
        batch: SealedBatch,
        now: Long,
    ) {
        if (batch.name in unstored) return
        unstored[batch.name] = Unstored(batch, now, limits.initialResendDelay)
        held += batch.records.size
    }

    /** The batches without a known copy on a router in [live], oldest first. */
    public fun withoutCopy(
        live: Set<RouterId>,
        limit: Int,
    ): List<SealedBatch> =
        unstored.values
            .asSequence()
            .filter { it.copyHolder == null || it.copyHolder !in live }
            .map { it.batch }
            .take(limit)
            .toList()

    /** The sealed batches that aren't known to be stored, oldest first. */
    public fun unstored(): List<SealedBatch> = unstored.values.map { it.batch }

    /** Records that [holder] has a copy of the batch [name]. */
    public fun markCopied(
        name: BatchName,
        holder: RouterId,
    ) {
        unstored[name]?.copyHolder = holder
    }

    /** The batches to send to a writer at [now], oldest first; each is due again later unless it is stored. */
    public fun takeDue(
        now: Long,
        limit: Int,
    ): List<SealedBatch> {
        val due = unstored.values.filter { now - it.sendAt >= 0 }.take(limit)
        due.forEach {
            it.sendAt = now + it.resendDelay.inWholeNanoseconds
            it.resendDelay = minOf(it.resendDelay * 2, limits.maxResendDelay)
        }
        return due.map { it.batch }
    }

    /** Records that the platform stored the batch [name]; false if the outbox no longer held it. */
    public fun markStored(name: BatchName): Boolean {
        val removed = unstored.remove(name) ?: return false
        held -= removed.batch.records.size
        return true
    }

    /**
     * Makes batches with a grown delay due at [now] and resets the delay: a store succeeded, so an outage has ended.
     */
    public fun resetResendDelays(now: Long) {
        unstored.values.filter { it.resendDelay > limits.initialResendDelay * 2 }.forEach {
            it.sendAt = now
            it.resendDelay = limits.initialResendDelay
        }
    }

    /** Makes every batch due at [now], regardless of when it was last sent. */
    public fun resendAllNow(now: Long): Unit = unstored.values.forEach { it.sendAt = now }
}
