package dev.almondhaven.decision.lease

import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable

/**
 * The object at which a lease is kept.
 *
 * @property fencing number that every order under this lease carries; each new holder's is higher.
 * @property attempt names the write that made this record, so that a write without an answer can be recognised.
 */
@Serializable
public data class LeaseRecord(
    public val holder: RouterId,
    public val fencing: Long,
    public val attempt: String,
)

/** A [LeaseRecord] as the platform returned it with its version, which changes with every write. */
public data class VersionedLease(
    public val record: LeaseRecord,
    public val version: Long,
)

/** What a lease needs from the platform. */
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
