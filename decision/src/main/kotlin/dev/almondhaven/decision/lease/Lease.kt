package dev.almondhaven.decision.lease

import dev.almondhaven.model.RouterId

/**
 * One router's side of a lease that at most one router holds at a time. Safety rests on compare-and-set writes and on
 * durations measured with monotonic clocks: the holder counts its term from before it sends each write; a successor
 * counts the term from after it has read the last write, and then also waits until the holder's last orders to engines
 * can no longer take effect.
 *
 * Not safe for use by several threads. Times are nanoseconds of one monotonic clock.
 */
public class Lease(
    private val self: RouterId,
    private val settings: LeaseSettings = LeaseSettings(),
    private val newAttempt: () -> String,
) {
    private var lastSeen: VersionedLease? = null
    private var lastSeenAt = 0L
    private var lastReadAt = 0L
    private var recordKnown = false
    private var pendingWrite: PendingWrite? = null
    private var unconfirmedWrite: PendingWrite? = null
    private var heldLease: HeldLease? = null

    private class PendingWrite(
        val record: LeaseRecord,
        val sentAt: Long,
    )

    private class HeldLease(
        val record: LeaseRecord,
        val version: Long,
        val since: Long,
    )

    /** The fencing token for orders sent at [now]; null if this router must not send any. */
    public fun fencingToken(now: Long): Long? {
        val lease = heldLease ?: return null
        val usable = settings.term - settings.margin
        return lease.record.fencing.takeIf { now - lease.since < usable.inWholeNanoseconds }
    }

    /** The call to make at [now], if any; [wanted] tells whether this router should hold the lease. */
    public fun next(
        now: Long,
        wanted: Boolean,
    ): LeaseCall? {
        if (pendingWrite != null) return null
        val lease = heldLease
        return when {
            !wanted && lease == null -> null
            !recordKnown || unconfirmedWrite != null -> LeaseCall.Read
            lease != null && fencingToken(now) == null -> restartAfterLapse()
            lease != null -> renewal(now, lease, wanted)
            else -> takeover(now)
        }
    }

    private fun restartAfterLapse(): LeaseCall {
        reset()
        return LeaseCall.Read
    }

    private fun renewal(
        now: Long,
        lease: HeldLease,
        wanted: Boolean,
    ): LeaseCall? {
        val due = now - lease.since >= settings.renewInterval.inWholeNanoseconds
        return if (due && wanted) write(now, lease.record.fencing, lease.version) else null
    }

    private fun takeover(now: Long): LeaseCall? {
        val current = lastSeen ?: return write(now, FIRST_FENCING_TOKEN, version = null)
        val delay = if (current.record.holder == self) settings.orderLifetime else settings.takeoverDelay
        if (now - lastSeenAt >= delay.inWholeNanoseconds) return write(now, current.record.fencing + 1, current.version)
        return LeaseCall.Read.takeIf { now - lastReadAt >= settings.renewInterval.inWholeNanoseconds }
    }

    private fun write(
        now: Long,
        fencing: Long,
        version: Long?,
    ): LeaseCall {
        val record = LeaseRecord(self, fencing, newAttempt())
        pendingWrite = PendingWrite(record, now)
        return LeaseCall.Write(record, version)
    }

    /** Reports the result of a [LeaseCall.Read] at [now]; [found] is null if there is no record. */
    public fun onRead(
        now: Long,
        found: VersionedLease?,
    ) {
        lastReadAt = now
        recordKnown = true
        if (found?.version != lastSeen?.version) {
            lastSeen = found
            lastSeenAt = now
        }
        resolveUnconfirmedWrite(found)
    }

    private fun resolveUnconfirmedWrite(found: VersionedLease?) {
        val attempt = unconfirmedWrite ?: return
        unconfirmedWrite = null
        if (found?.record == attempt.record) {
            heldLease = HeldLease(attempt.record, found.version, attempt.sentAt)
        } else if (found?.version != heldLease?.version) {
            heldLease = null
        }
    }

    /** Reports that a [LeaseCall.Write] took effect as [version]. */
    public fun onWritten(
        now: Long,
        version: Long,
    ) {
        val attempt = checkNotNull(pendingWrite) { "no write is pending" }
        pendingWrite = null
        heldLease = HeldLease(attempt.record, version, attempt.sentAt)
        lastSeen = VersionedLease(attempt.record, version)
        lastSeenAt = now
    }

    /** Reports that a [LeaseCall.Write] found another version and had no effect. */
    public fun onConflict(): Unit = reset()

    /** Reports that a call got no response; a write may have taken effect or may still do so. */
    public fun onFailure() {
        unconfirmedWrite = pendingWrite ?: unconfirmedWrite
        pendingWrite = null
    }

    private fun reset() {
        pendingWrite = null
        unconfirmedWrite = null
        heldLease = null
        lastSeen = null
        recordKnown = false
    }

    private companion object {
        const val FIRST_FENCING_TOKEN = 1L
    }
}
