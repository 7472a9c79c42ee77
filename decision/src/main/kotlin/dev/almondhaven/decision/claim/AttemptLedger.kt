package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the holder of an attempt says about it. */
@Serializable
public sealed interface AttemptStatus {
    /** Not dispatched yet; may still be. */
    @Serializable
    @SerialName("pending")
    public data object Pending : AttemptStatus

    /** Dispatched and not ended. */
    @Serializable
    @SerialName("dispatched")
    public data object Dispatched : AttemptStatus

    /** Dispatched and ended. */
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

    /** The router that was asked cannot tell. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : AttemptStatus
}

/**
 * The attempts of one router process: the single place where a dispatch and a void are decided against each other.
 * A void attempt is forgotten at once, so an attempt that was issued here and isn't held is void, except for those
 * at or below the newest one that was dropped for want of room. Safe to use from any thread.
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
    private var issued = 0L
    private var dropped = 0L

    /** Issues an attempt that may be dispatched before [dispatchBy], in monotonic nanoseconds. */
    @Synchronized
    public fun issue(dispatchBy: Long): Attempt {
        issued++
        entries[issued] = Entry(dispatchBy)
        dropOldest()
        return Attempt(self, issued)
    }

    /** Decides for the dispatch if [attempt] is neither void, nor dispatched, nor past its bound at [now]. */
    @Synchronized
    public fun tryDispatch(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val entry = pending(attempt) ?: return false
        if (now - entry.dispatchBy >= 0) {
            entries.remove(attempt.number)
            return false
        }
        entry.status = AttemptStatus.Dispatched
        return true
    }

    /** Decides against the dispatch; true if [attempt] is now void for good. */
    @Synchronized
    public fun void(attempt: Attempt): Boolean {
        if (pending(attempt) != null) entries.remove(attempt.number)
        return isVoid(attempt)
    }

    /** Takes a dispatch back of which certainly no byte was sent. */
    @Synchronized
    public fun undoDispatch(attempt: Attempt) {
        val entry = entries[attempt.number] ?: return
        if (entry.status == AttemptStatus.Dispatched) entry.status = AttemptStatus.Pending
    }

    /** Notes the end of a dispatched [attempt]. */
    @Synchronized
    public fun finish(
        attempt: Attempt,
        outcome: Outcome,
        answer: RecordedResponse?,
    ) {
        entries[attempt.number]?.status = AttemptStatus.Finished(outcome, answer)
    }

    /** The status of [attempt] at [now]; an attempt past its bound is made void by asking. */
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
        attempt.holder == self && attempt.number in (dropped + 1)..issued && attempt.number !in entries

    private fun pending(attempt: Attempt): Entry? =
        entries[attempt.number]?.takeIf { attempt.holder == self && it.status == AttemptStatus.Pending }

    private fun dropOldest() {
        if (entries.size <= capacity) return
        val oldest = entries.keys.first()
        entries.remove(oldest)
        dropped = oldest
    }

    private companion object {
        const val DEFAULT_CAPACITY = 100_000
    }
}
