package dev.almondhaven.decision.claim

/** The platform's version number of a shard's object. */
@JvmInline
public value class ShardVersion(
    public val value: Long,
)

/** The next step that a [ShardWriter] asks its caller to carry out. */
public sealed interface ShardStep {
    /** Nothing to do until the next submission. */
    public data object Idle : ShardStep

    /** Nothing to do before [until], in monotonic nanoseconds. */
    public data class Wait(
        public val until: Long,
    ) : ShardStep

    /** Read the shard's object. */
    public data object Read : ShardStep

    /** Write [document], encoded as [text], if the object is still at [expected]; null if it must not exist yet. */
    public data class Write(
        public val document: ClaimDocument,
        public val text: String,
        public val expected: ShardVersion?,
    ) : ShardStep
}

/** A completed submission: the [token] it was submitted with, and its verdict. */
public data class SettledOperation<T>(
    public val token: T,
    public val verdict: ClaimVerdict,
)
