package dev.almondhaven.decision.membership

import kotlinx.serialization.Serializable

/**
 * The state of a router as seen by another one. Between records of one incarnation the later state listed here wins.
 */
public enum class MemberState {
    ALIVE,

    /** Did not answer. It is declared dead unless it refutes the suspicion by raising its incarnation in time. */
    SUSPECT,

    /** Did not answer until the suspicion timed out; it may return with a higher incarnation. */
    DEAD,

    /** Announced its own shutdown; final. */
    LEFT,
}

/**
 * One router's state as gossiped between routers.
 *
 * @property incarnation version that only [member] increments, to refute older records about itself.
 */
@Serializable
public data class MemberRecord(
    public val member: Member,
    public val incarnation: Long,
    public val state: MemberState = MemberState.ALIVE,
) {
    /** Whether this record replaces [existing], an earlier one of the same router. */
    internal fun supersedes(existing: MemberRecord): Boolean =
        when {
            existing.state == MemberState.LEFT -> false
            incarnation != existing.incarnation -> incarnation > existing.incarnation
            else -> state > existing.state
        }

    internal val isInView: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT
}
