package dev.almondhaven.decision.lease

import dev.almondhaven.model.RouterId

/**
 * One router's side of a lease that at most one router holds at a time. Safety rests on conditional writes and on spans
 * of monotonic clocks: the holder counts its term from before each write, a successor from after it has seen the last
 * one, and then waits for the longest order as well.
 *
 * Not safe for use by several threads. Times are nanoseconds of one monotonic clock.
 */
public class Lease(
    private val self: RouterId,
    private val settings: LeaseSettings = LeaseSettings(),
    private val newAttempt: () -> String,
) {
    private var seen: VersionedLease? = null
    private var seenAt = 0L
    private var lastReadAt = 0L
    private var known = false
    private var underWay: Attempt? = null
    private var unsettled: Attempt? = null
    private var held: Held? = null

    private class Attempt(
        val record: LeaseRecord,
        val askedAt: Long,
    )

    private class Held(
        val record: LeaseRecord,
        val version: Long,
        val since: Long,
    )

    /** The fencing number to order with at [now]; null when this router must give no order. */
    public fun fencingToken(now: Long): Long? {
        val lease = held ?: return null
        val usable = settings.term - settings.margin
        return lease.record.fencing.takeIf { now - lease.since < usable.inWholeNanoseconds }
    }

    /** The call to make at [now], if any; [wanted] tells whether this router ought to hold the lease. */
    public fun next(
        now: Long,
        wanted: Boolean,
    ): LeaseCall? {
        if (underWay != null) return null
        val lease = held
        return when {
            !wanted && lease == null -> null
            !known || unsettled != null -> LeaseCall.Read
            lease != null && fencingToken(now) == null -> lapsed()
            lease != null -> renewal(now, lease, wanted)
            else -> takeover(now)
        }
    }

    private fun lapsed(): LeaseCall {
        forget()
        return LeaseCall.Read
    }

    private fun renewal(
        now: Long,
        lease: Held,
        wanted: Boolean,
    ): LeaseCall? {
        val due = now - lease.since >= settings.renewInterval.inWholeNanoseconds
        return if (due && wanted) write(now, lease.record.fencing, lease.version) else null
    }

    private fun takeover(now: Long): LeaseCall? {
        val other = seen ?: return write(now, FIRST_FENCING, version = null)
        val wait = if (other.record.holder == self) settings.orderLifetime else settings.wait
        if (now - seenAt >= wait.inWholeNanoseconds) return write(now, other.record.fencing + 1, other.version)
        return LeaseCall.Read.takeIf { now - lastReadAt >= settings.renewInterval.inWholeNanoseconds }
    }

    private fun write(
        now: Long,
        fencing: Long,
        version: Long?,
    ): LeaseCall {
        val record = LeaseRecord(self, fencing, newAttempt())
        underWay = Attempt(record, now)
        return LeaseCall.Write(record, version)
    }

    /** A [LeaseCall.Read] was answered at [now]; [found] is null when there is no record. */
    public fun onRead(
        now: Long,
        found: VersionedLease?,
    ) {
        lastReadAt = now
        known = true
        if (found?.version != seen?.version) {
            seen = found
            seenAt = now
        }
        settle(found)
    }

    private fun settle(found: VersionedLease?) {
        val attempt = unsettled ?: return
        unsettled = null
        if (found?.record == attempt.record) {
            held = Held(attempt.record, found.version, attempt.askedAt)
        } else if (found?.version != held?.version) {
            held = null
        }
    }

    /** A [LeaseCall.Write] took effect as [version]. */
    public fun onWritten(
        now: Long,
        version: Long,
    ) {
        val attempt = checkNotNull(underWay) { "no write is under way" }
        underWay = null
        held = Held(attempt.record, version, attempt.askedAt)
        seen = VersionedLease(attempt.record, version)
        seenAt = now
    }

    /** A [LeaseCall.Write] found another version and had no effect. */
    public fun onConflict(): Unit = forget()

    /** A call had no answer; a write may have taken effect or may still do so. */
    public fun onFailure() {
        unsettled = underWay ?: unsettled
        underWay = null
    }

    private fun forget() {
        underWay = null
        unsettled = null
        held = null
        seen = null
        known = false
    }

    private companion object {
        const val FIRST_FENCING = 1L
    }
}
