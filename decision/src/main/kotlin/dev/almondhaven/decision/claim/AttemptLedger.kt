package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of an attempt as its holder reports it. */
@Serializable
public sealed interface AttemptStatus {
    /** Not dispatched yet, but still may be. */
    @Serializable
    @SerialName("pending")
    public data object Pending : AttemptStatus

    /** Dispatched and still running. */
    @Serializable
    @SerialName("dispatched")
    public data object Dispatched : AttemptStatus

    /** Dispatched and completed. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        public val outcome: Outcome,
        @SerialName("answer") public val response: RecordedResponse? = null,
    ) : AttemptStatus

    /** Never dispatched, and never will be. */
    @Serializable
    @SerialName("void")
    public data object Void : AttemptStatus

    /** The router no longer has a record of the attempt, or never issued it. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : AttemptStatus
}

/**
 * Tracks the attempts of one router process to dispatch calls. An attempt is either dispatched or made void, never
 * both, and this class alone decides which.
 *
 * Void attempts are removed at once. An attempt that was issued here and has no entry is therefore void, except when
 * its number is at or below the newest attempt evicted because the ledger was full. Safe to use from any thread.
 */
public class AttemptLedger(
    private val self: RouterId,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private class Entry(
        val dispatchBy: Long,
        var status: AttemptStatus = AttemptStatus.Pending,
    )

    private val entries = LinkedHashMap<Long, Entry>()
    private var lastIssued = 0L
    private var lastEvicted = 0L

    /** Issues an attempt that may be dispatched before [dispatchBy], in monotonic nanoseconds. */
    @Synchronized
    public fun issue(dispatchBy: Long): Attempt {
        lastIssued++
        entries[lastIssued] = Entry(dispatchBy)
        evictOldest()
        return Attempt(self, lastIssued)
    }

    /**
     * Marks [attempt] as dispatched; false if it is void, already dispatched or past its dispatch deadline at [now].
     */
    @Synchronized
    public fun tryDispatch(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val entry = pendingEntry(attempt) ?: return false
        if (now - entry.dispatchBy >= 0) {
            entries.remove(attempt.number)
            return false
        }
        entry.status = AttemptStatus.Dispatched
        return true
    }

    /** Voids [attempt] unless it was dispatched; true if it is void now, which is final. */
    @Synchronized
    public fun void(attempt: Attempt): Boolean {
        if (pendingEntry(attempt) != null) entries.remove(attempt.number)
        return isVoid(attempt)
    }

    /** Returns a dispatched [attempt] to pending; only for a dispatch of which certainly no byte was sent. */
    @Synchronized
    public fun undoDispatch(attempt: Attempt) {
        val entry = entries[attempt.number] ?: return
        if (entry.status == AttemptStatus.Dispatched) entry.status = AttemptStatus.Pending
    }

    /** Records the result of a dispatched [attempt]. */
    @Synchronized
    public fun finish(
        attempt: Attempt,
        outcome: Outcome,
        response: RecordedResponse?,
    ) {
        entries[attempt.number]?.status = AttemptStatus.Finished(outcome, response)
    }

    /** The status of [attempt] at [now]. A pending attempt past its dispatch deadline is voided by this call. */
    @Synchronized
    public fun statusAt(
        attempt: Attempt,
        now: Long,
    ): AttemptStatus {
        val entry = entries[attempt.number]
        if (attempt.holder != self) return AttemptStatus.Unknown
        if (entry != null && entry.status == AttemptStatus.Pending && now - entry.dispatchBy >= 0) void(attempt)
        return if (isVoid(attempt)) AttemptStatus.Void else entry?.status ?: AttemptStatus.Unknown
    }

    private fun isVoid(attempt: Attempt): Boolean =
        attempt.holder == self && attempt.number in (lastEvicted + 1)..lastIssued && attempt.number !in entries

    private fun pendingEntry(attempt: Attempt): Entry? =
        entries[attempt.number]?.takeIf { attempt.holder == self && it.status == AttemptStatus.Pending }

    private fun evictOldest() {
        if (entries.size <= capacity) return
        val oldest = entries.keys.first()
        entries.remove(oldest)
        lastEvicted = oldest
    }

    private companion object {
        const val DEFAULT_CAPACITY = 100_000
    }
}
