package dev.almondhaven.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request that ended in an error may have been executed. */
@Serializable
public enum class Outcome {
    /** No byte of the request reached an endpoint, and none will. */
    @SerialName("not_run")
    NOT_RUN,

    /** An endpoint ran the request. */
    @SerialName("ran")
    RAN,

    /** An endpoint may have run the request. */
    @SerialName("unknown")
    UNKNOWN,
    ;

    /** The name used on the wire. */
    public val wireName: String get() = name.lowercase()
}
