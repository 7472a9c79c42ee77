package dev.almondhaven.experiments.deployment

import dev.almondhaven.model.Outcome

/**
 * The kind of call: a streaming or a whole (non-streaming) model request, an idempotent look-up or a non-idempotent
 * order on the plain service.
 */
public enum class CallKind {
    STREAMED,
    WHOLE,
    LOOKUP,
    ORDER,
}

/** How a call ended for its caller. */
public enum class CallEnd {
    /** The complete response arrived. */
    ANSWERED,

    /** An error response with a result code arrived. */
    REFUSED,

    /** A response arrived but is incomplete or belongs to another request. */
    DAMAGED,

    /** The connection broke or the response timed out. */
    CONNECTION_LOST,
}

/**
 * One attempt of a call, as the caller observed it.
 *
 * @property key idempotency key of an order; empty otherwise.
 * @property router address of the router that the attempt was sent to.
 * @property startedAt epoch milliseconds at which the caller sent it.
 * @property millis duration of the attempt in milliseconds.
 * @property code result code of a refusal.
 */
public data class CallRecord(
    public val kind: CallKind,
    public val organisation: String,
    public val router: String,
    public val startedAt: Long,
    public val millis: Long,
    public val end: CallEnd,
    public val requestId: String = "",
    public val key: String = "",
    public val code: Int? = null,
    public val outcome: Outcome? = null,
    public val model: String = "",
    public val session: String = "",
    public val detail: String = "",
) {
    /** Epoch milliseconds at which the caller had the complete response or the failure. */
    public val endedAt: Long get() = startedAt + millis
}
