package dev.almondhaven.experiments.deployment

import dev.almondhaven.model.Outcome

/** What a caller asked for. */
public enum class CallKind {
    STREAMED,
    WHOLE,
    LOOKUP,
    ORDER,
}

/** How a call ended for its caller. */
public enum class CallEnd {
    /** The whole answer came. */
    ANSWERED,

    /** A numbered error came. */
    REFUSED,

    /** The answer came but isn't whole, or isn't the caller's own. */
    DAMAGED,

    /** The connection broke or the answer timed out. */
    CONNECTION_LOST,
}

/**
 * One attempt of a caller, as the caller saw it.
 *
 * @property key idempotency key of an order; empty otherwise.
 * @property router address of the router that was asked.
 * @property code number of the result code of a refusal.
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
    /** Epoch milliseconds at which the caller had the answer. */
    public val endedAt: Long get() = startedAt + millis
}
