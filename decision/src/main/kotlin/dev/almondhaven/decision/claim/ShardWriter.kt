package dev.almondhaven.decision.claim

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Batching and backoff limits of a [ShardWriter].
 *
 * @property writeInterval least time between two writes of one shard; operations submitted in between share a write.
 * @property completionDelay longest time that the result of an attempt waits for a claim to share a write with.
 * @property initialBackoff upper bound of the random delay after the first failed call; doubles with each failure.
 * @property maxBackoff largest upper bound of that delay.
 * @property maxPending operations that may wait; further ones are rejected.
 * @property maxBatch operations in one write.
 */
public data class ShardWriterLimits(
    public val writeInterval: Duration = 100.milliseconds,
    public val completionDelay: Duration = 500.milliseconds,
    public val initialBackoff: Duration = 20.milliseconds,
    public val maxBackoff: Duration = 2.seconds,
    public val maxPending: Int = 2_048,
    public val maxBatch: Int = 256,
)

/**
 * Applies operations to one shard: reads the shard's object from the platform, applies the pending operations and
 * writes it back by compare-and-set until a write is known to have taken effect. After a lost response the object is
 * read again; an operation that already took effect then applies without a change. It does no I/O: the caller carries
 * out the step that [next] returns and reports the result.
 */
public class ShardWriter<T>(
    private val limits: ShardWriterLimits,
    private val random: UniformRandomProvider,
) {
    private class Submission<T>(
        val operation: ClaimOperation,
        val token: T,
        val submittedAt: Long,
        var writeAttempted: Boolean = false,
    )

    private class Snapshot(
        val document: ClaimDocument,
        val bytes: Int,
        val version: ShardVersion?,
    )

    private val pending = ArrayDeque<Submission<T>>()
    private val settled = ArrayList<SettledOperation<T>>()
    private var planned: List<SettledOperation<T>> = emptyList()
    private var plannedWrite: ShardStep.Write? = null
    private var snapshot: Snapshot? = null
    private var snapshotFresh = false
    private var nextCallAt = Long.MIN_VALUE
    private var failures = 0

    /** Number of operations that aren't settled. */
    public val pendingCount: Int get() = pending.size

    /** Queues [operation] at [now]; false if it is rejected because too many are pending. */
    public fun submit(
        operation: ClaimOperation,
        token: T,
        now: Long,
    ): Boolean {
        if (operation is ClaimOperation.Void && cancelUnwrittenClaim(operation)) {
            settled += SettledOperation(token, ClaimVerdict.Recorded)
            return true
        }
        if (pending.size >= limits.maxPending) return false
        pending += Submission(operation, token, now)
        snapshotFresh = false
        return true
    }

    private fun cancelUnwrittenClaim(void: ClaimOperation.Void): Boolean {
        val claim =
            pending.firstOrNull { it.operation is ClaimOperation.Claim && it.operation.attempt == void.attempt }
        if (claim == null) return false
        pending.remove(claim)
        settled += SettledOperation(claim.token, ClaimVerdict.Recorded)
        return !claim.writeAttempted
    }

    /**
     * The next step at [now], in monotonic nanoseconds; [wallMillis] is the wall-clock time. With [flush] results of
     * attempts don't wait for claims.
     */
    public fun next(
        now: Long,
        wallMillis: Long,
        flush: Boolean = false,
    ): ShardStep {
        if (pending.isEmpty()) return ShardStep.Idle
        val start = if (flush) nextCallAt else maxOf(nextCallAt, dueAt())
        if (now < start) return ShardStep.Wait(start)
        val base = snapshot ?: return ShardStep.Read
        val before = base.document.compacted(wallMillis)
        var document = before
        planned =
            pending.take(limits.maxBatch).map { submission ->
                val applied = document.apply(submission.operation, base.bytes)
                document = applied.document
                SettledOperation(submission.token, applied.verdict)
            }
        return if (document == before) settleUnchanged() else write(document, base)
    }

    private fun dueAt(): Long {
        if (pending.any { it.operation is ClaimOperation.Claim }) return Long.MIN_VALUE
        return pending.first().submittedAt + limits.completionDelay.inWholeNanoseconds
    }

    private fun settleUnchanged(): ShardStep {
        if (!snapshotFresh) return ShardStep.Read
        settlePlanned()
        return ShardStep.Idle
    }

    private fun write(
        document: ClaimDocument,
        base: Snapshot,
    ): ShardStep {
        pending.take(planned.size).forEach { it.writeAttempted = true }
        return ShardStep.Write(document, document.encode(), base.version).also { plannedWrite = it }
    }

    /** Reports the object that was read; [text] and [version] are null if there is none. */
    public fun onRead(
        text: String?,
        version: ShardVersion?,
    ) {
        snapshot = Snapshot(text?.let { ClaimDocument.decode(it) } ?: ClaimDocument(), text?.length ?: 0, version)
        snapshotFresh = true
    }

    /** Reports that the write took effect and gave [version]. */
    public fun onWritten(
        version: ShardVersion,
        now: Long,
    ) {
        val write = checkNotNull(plannedWrite) { "no write was requested" }
        snapshot = Snapshot(write.document, write.text.length, version)
        snapshotFresh = true
        failures = 0
        settlePlanned()
        nextCallAt = now + limits.writeInterval.inWholeNanoseconds
    }

    /** Reports that the object was no longer at the expected version. */
    public fun onConflict(now: Long) {
        snapshot = null
        backOff(now)
    }

    /** Reports that a call failed or its response was lost; the object is read again to see what took effect. */
    public fun onFailure(now: Long) {
        snapshot = null
        backOff(now)
    }

    /**
     * Reports that the shard exceeds the platform's size limit: the planned claims are refused as [ClaimVerdict.Full].
     */
    public fun onTooLarge(now: Long) {
        pending.take(planned.size).filter { it.operation is ClaimOperation.Claim }.forEach {
            pending.remove(it)
            settled += SettledOperation(it.token, ClaimVerdict.Full)
        }
        backOff(now)
    }

    /** The operations settled since the last call. */
    public fun drainSettled(): List<SettledOperation<T>> = settled.toList().also { settled.clear() }

    private fun settlePlanned() {
        settled += planned
        repeat(planned.size) { pending.removeFirst() }
        planned = emptyList()
        plannedWrite = null
    }

    private fun backOff(now: Long) {
        val bound = limits.initialBackoff * (1 shl minOf(failures, MAX_BACKOFF_DOUBLINGS))
        failures++
        nextCallAt = now + random.nextLong(minOf(bound, limits.maxBackoff).inWholeNanoseconds) + 1
    }

    private companion object {
        const val MAX_BACKOFF_DOUBLINGS = 10
    }
}
