package dev.almondhaven.decision.lease

import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * The record of a lease, stored as one object on the platform.
 *
 * @property fencing fencing token that every order under this lease carries; it increases with each new holder.
 * @property attempt identifies the write that created this record, so that a write without a response can be
 * recognised.
 */
@Serializable
public data class LeaseRecord(
    public val holder: RouterId,
    public val fencing: Long,
    public val attempt: String,
)

/** A [LeaseRecord] with its object version on the platform, which changes with every write. */
public data class VersionedLease(
    public val record: LeaseRecord,
    public val version: Long,
)

/** A call to the platform that a [Lease] asks its caller to make. */
public sealed interface LeaseCall {
    /** Read the record; report to [Lease.onRead] or [Lease.onFailure]. */
    public data object Read : LeaseCall

    /**
     * Write [record] if the object is still at [version], or absent when null; report to [Lease.onWritten],
     * [Lease.onConflict] or [Lease.onFailure].
     */
    public data class Write(
        public val record: LeaseRecord,
        public val version: Long?,
    ) : LeaseCall
}
