package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One attempt of one router process to run a key's call; numbers are never reused. */
@Serializable
public data class Attempt(
    @SerialName("h") public val holder: RouterId,
    @SerialName("n") public val number: Long,
)

/** The state of a claim as stored on the platform. */
@Serializable
public enum class ClaimState {
    /** The attempt may dispatch, and may have done so. */
    @SerialName("c")
    CLAIMED,

    /** The attempt was dispatched and has completed. */
    @SerialName("f")
    FINISHED,

    /** The attempt was never dispatched and never will be. */
    @SerialName("v")
    VOID,
}

/** The HTTP response of a finished call; [body] is Base64. */
@Serializable
public data class RecordedResponse(
    @SerialName("s") public val status: Int,
    @SerialName("t") public val contentType: String,
    @SerialName("b") public val body: String,
)

/**
 * The claim of one key as stored on the platform.
 *
 * @property requestDigest digest of the request's method, path and body.
 * @property claimedAt epoch milliseconds at which the request arrived, by its holder's clock.
 * @property outcome whether the call ran; null until it is finished.
 * @property response the response of a finished call if it was small enough to record.
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
