package dev.almondhaven.decision.claim

/** The platform's version of a shard's object. */
@JvmInline
public value class ShardVersion(
    public val value: Long,
)

/** What a [ShardWriter] wants done next. */
public sealed interface ShardStep {
    /** Nothing until the next submission. */
    public data object Idle : ShardStep

    /** Nothing before [until], in monotonic nanoseconds. */
    public data class Wait(
        public val until: Long,
    ) : ShardStep

    /** Read the shard's object. */
    public data object Read : ShardStep

    /** Write [document] if the object is still at [expected]; null means that it doesn't exist yet. */
    public data class Write(
        public val document: ClaimDocument,
        public val text: String,
        public val expected: ShardVersion?,
    ) : ShardStep
}

/** A submission's end: the [token] it was submitted with, and what came of it. */
public data class SettledOperation<T>(
    public val token: T,
    public val verdict: ClaimVerdict,
)
