package dev.almondhaven.decision.claim

import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a [ShardWriter] paces itself.
 *
 * @property writeInterval least time between two writes of one shard; operations that come between share a write.
 * @property completionDelay longest time that the end of an attempt waits for a claim to share its write.
 * @property initialBackoff bound of the random pause after the first failed call; it doubles with each failure.
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
 * Brings operations on one shard into the platform's object: reads it, applies what waits, and writes it by conditional
 * update until the write is known to have taken effect. A lost answer is settled by reading back: an operation that
 * already took effect applies without a change. It does no I/O; the caller carries out [next] and reports the result.
 */
public class ShardWriter<T>(
    private val limits: ShardWriterLimits,
    private val random: UniformRandomProvider,
) {
    private class Submission<T>(
        val operation: ClaimOperation,
        val token: T,
        val at: Long,
        var tried: Boolean = false,
    )

    private class Known(
        val document: ClaimDocument,
        val bytes: Int,
        val version: ShardVersion?,
    )

    private val waiting = ArrayDeque<Submission<T>>()
    private val settled = ArrayList<SettledOperation<T>>()
    private var planned: List<SettledOperation<T>> = emptyList()
    private var plannedWrite: ShardStep.Write? = null
    private var known: Known? = null
    private var fresh = false
    private var notBefore = Long.MIN_VALUE
    private var failures = 0

    /** Operations that are not settled. */
    public val pendingCount: Int get() = waiting.size

    /** Takes [operation] at [now]; false when too many wait, and it is then not taken. */
    public fun submit(
        operation: ClaimOperation,
        token: T,
        now: Long,
    ): Boolean {
        if (operation is ClaimOperation.Void && dropUntried(operation)) {
            settled += SettledOperation(token, ClaimVerdict.Recorded)
            return true
        }
        if (waiting.size >= limits.maxPending) return false
        waiting += Submission(operation, token, now)
        fresh = false
        return true
    }

    private fun dropUntried(void: ClaimOperation.Void): Boolean {
        val claim =
            waiting.firstOrNull { it.operation is ClaimOperation.Claim && it.operation.attempt == void.attempt }
        if (claim == null) return false
        waiting.remove(claim)
        settled += SettledOperation(claim.token, ClaimVerdict.Recorded)
        return !claim.tried
    }

    /**
     * What to do at [now], in monotonic nanoseconds; [wallMillis] is the time of day. With [flush] ends of attempts don't
     * wait for claims.
     */
    public fun next(
        now: Long,
        wallMillis: Long,
        flush: Boolean = false,
    ): ShardStep {
        if (waiting.isEmpty()) return ShardStep.Idle
        val start = if (flush) notBefore else maxOf(notBefore, dueAt())
        if (now < start) return ShardStep.Wait(start)
        val base = known ?: return ShardStep.Read
        val before = base.document.compacted(wallMillis)
        var document = before
        planned =
            waiting.take(limits.maxBatch).map { submission ->
                val applied = document.apply(submission.operation, base.bytes)
                document = applied.document
                SettledOperation(submission.token, applied.verdict)
            }
        return if (document == before) settleUnchanged() else write(document, base)
    }

    private fun dueAt(): Long {
        val claims = waiting.any { it.operation is ClaimOperation.Claim }
        return if (claims) Long.MIN_VALUE else waiting.first().at + limits.completionDelay.inWholeNanoseconds
    }

    private fun settleUnchanged(): ShardStep {
        if (!fresh) return ShardStep.Read
        settlePlanned()
        return ShardStep.Idle
    }

    private fun write(
        document: ClaimDocument,
        base: Known,
    ): ShardStep {
        waiting.take(planned.size).forEach { it.tried = true }
        return ShardStep.Write(document, document.encode(), base.version).also { plannedWrite = it }
    }

    /** Reports what was read; [version] is null when there is no object. */
    public fun onRead(
        text: String?,
        version: ShardVersion?,
    ) {
        known = Known(text?.let { ClaimDocument.decode(it) } ?: ClaimDocument(), text?.length ?: 0, version)
        fresh = true
    }

    /** Reports that the write took effect and gave [version]. */
    public fun onWritten(
        version: ShardVersion,
        now: Long,
    ) {
        val write = checkNotNull(plannedWrite) { "no write was asked for" }
        known = Known(write.document, write.text.length, version)
        fresh = true
        failures = 0
        settlePlanned()
        notBefore = now + limits.writeInterval.inWholeNanoseconds
    }

    /** Reports that another writer was first. */
    public fun onConflict(now: Long) {
        known = null
        backOff(now)
    }

    /** Reports that a call failed or its answer was lost; the next step reads back what took effect. */
    public fun onFailure(now: Long) {
        known = null
        backOff(now)
    }

    /** Reports that the shard is larger than the platform holds: nothing more can be claimed in it. */
    public fun onTooLarge(now: Long) {
        waiting.take(planned.size).filter { it.operation is ClaimOperation.Claim }.forEach {
            waiting.remove(it)
            settled += SettledOperation(it.token, ClaimVerdict.Full)
        }
        backOff(now)
    }

    /** The operations settled since the last call. */
    public fun drainSettled(): List<SettledOperation<T>> = settled.toList().also { settled.clear() }

    private fun settlePlanned() {
        settled += planned
        repeat(planned.size) { waiting.removeFirst() }
        planned = emptyList()
        plannedWrite = null
    }

    private fun backOff(now: Long) {
        val bound = limits.initialBackoff * (1 shl minOf(failures, MAXIMUM_DOUBLINGS))
        failures++
        notBefore = now + random.nextLong(minOf(bound, limits.maxBackoff).inWholeNanoseconds) + 1
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
    }
}
