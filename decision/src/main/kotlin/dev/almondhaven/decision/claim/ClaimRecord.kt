package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One try of one router process to run a key's call; never used twice. */
@Serializable
public data class Attempt(
    @SerialName("h") public val holder: RouterId,
    @SerialName("n") public val number: Long,
)

/** The state of a claim as the platform keeps it. */
@Serializable
public enum class ClaimState {
    /** The attempt may dispatch, and may have done so. */
    @SerialName("c")
    CLAIMED,

    /** The attempt was dispatched and has ended. */
    @SerialName("f")
    FINISHED,

    /** The attempt was never dispatched and never will be. */
    @SerialName("v")
    VOID,
}

/** The answer of a finished call; [body] is Base64. */
@Serializable
public data class RecordedResponse(
    @SerialName("s") public val status: Int,
    @SerialName("t") public val contentType: String,
    @SerialName("b") public val body: String,
)

/**
 * What the platform keeps for one key.
 *
 * @property requestDigest digest of the request's method, path and body.
 * @property claimedAt epoch milliseconds of the claim by its holder's clock.
 * @property outcome whether the call ran, once it is finished.
 * @property response the answer of a finished call when it was small enough to keep.
 */
@Serializable
public data class ClaimRecord(
    @SerialName("b") public val requestDigest: Digest,
    @SerialName("a") public val attempt: Attempt,
    @SerialName("t") public val claimedAt: Long,
    @SerialName("s") public val state: ClaimState = ClaimState.CLAIMED,
    @SerialName("o") public val outcome: Outcome? = null,
    @SerialName("r") public val response: RecordedResponse? = null,
)
