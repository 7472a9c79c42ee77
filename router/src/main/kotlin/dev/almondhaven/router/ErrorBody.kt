package dev.almondhaven.router

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The JSON body of an error response. */
@Serializable
public data class ErrorBody(
    public val error: ErrorDetail,
) {
    /** Serializes the body to JSON text. */
    public fun toJson(): String = Json.encodeToString(serializer(), this)

    public companion object {
        /** The body that reports [refusal] for the request with [requestId]. */
        public fun of(
            refusal: Refusal,
            requestId: String,
        ): ErrorBody =
            ErrorBody(
                ErrorDetail(
                    refusal.code.number,
                    refusal.code.name.lowercase(),
                    refusal.detail,
                    refusal.outcome,
                    requestId,
                ),
            )
    }
}

/**
 * The fields of an [ErrorBody].
 *
 * @property code number of the result code.
 * @property type name of the result code, in lower case.
 */
@Serializable
public data class ErrorDetail(
    public val code: Int,
    public val type: String,
    public val message: String,
    public val outcome: Outcome,
    @SerialName("request_id") public val requestId: String,
)
