package dev.almondhaven.decision.membership

import kotlinx.serialization.Serializable

/** What a router holds another one to be. Of two records of one incarnation the later state in this list wins. */
public enum class MemberState {
    ALIVE,

    /** Did not answer; it is dropped unless it raises its incarnation in time. */
    SUSPECT,

    /** Did not answer for long; it may still come back with a higher incarnation. */
    DEAD,

    /** Said itself that it stops; final. */
    LEFT,
}

/**
 * A claim about a router.
 *
 * @property incarnation counted up by [member] alone, to contradict older claims about itself.
 */
@Serializable
public data class MemberRecord(
    public val member: Member,
    public val incarnation: Long,
    public val state: MemberState = MemberState.ALIVE,
) {
    /** Whether this record replaces [held], an earlier one of the same router. */
    internal fun supersedes(held: MemberRecord): Boolean =
        when {
            held.state == MemberState.LEFT -> false
            incarnation != held.incarnation -> incarnation > held.incarnation
            else -> state > held.state
        }

    internal val inView: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT
}
