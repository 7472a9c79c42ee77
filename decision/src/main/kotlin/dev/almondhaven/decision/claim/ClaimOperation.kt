package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A change to one key's claim. Applying one twice has the effect of applying it once. */
@Serializable
public sealed interface ClaimOperation {
    public val key: Digest
    public val attempt: Attempt

    /**
     * Claims the key for [attempt].
     *
     * @property claimedAt epoch milliseconds.
     * @property voided attempts that their holders declared void.
     */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val key: Digest,
        override val attempt: Attempt,
        @SerialName("body") public val requestDigest: Digest,
        @SerialName("at") public val claimedAt: Long,
        public val voided: Set<Attempt> = emptySet(),
    ) : ClaimOperation

    /** Records the end of a dispatched [attempt]. */
    @Serializable
    @SerialName("finish")
    public data class Finish(
        override val key: Digest,
        override val attempt: Attempt,
        public val outcome: Outcome,
        @SerialName("answer") public val response: RecordedResponse? = null,
    ) : ClaimOperation

    /** Records that [attempt] will never be dispatched. */
    @Serializable
    @SerialName("void")
    public data class Void(
        override val key: Digest,
        override val attempt: Attempt,
    ) : ClaimOperation
}

/** What came of a [ClaimOperation] once it is settled. */
@Serializable
public sealed interface ClaimVerdict {
    /** The platform holds the claim for the attempt. */
    @Serializable
    @SerialName("granted")
    public data object Granted : ClaimVerdict

    /** Another attempt holds the key. */
    @Serializable
    @SerialName("held")
    public data class Held(
        public val record: ClaimRecord,
    ) : ClaimVerdict

    /** The key was claimed before the retention window. */
    @Serializable
    @SerialName("expired")
    public data object Expired : ClaimVerdict

    /** The shard has no room for another key. */
    @Serializable
    @SerialName("full")
    public data object Full : ClaimVerdict

    /** The end of an attempt is recorded, or there is nothing left to record it in. */
    @Serializable
    @SerialName("recorded")
    public data object Recorded : ClaimVerdict
}
