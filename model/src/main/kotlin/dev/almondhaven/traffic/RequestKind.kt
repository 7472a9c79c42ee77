package dev.almondhaven.traffic

/** Whether and how the requests of a route may be retried. */
public enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** Runs at most once for each of a caller's requests. */
    NON_IDEMPOTENT,

    /** Answered with a stream of events; retried only if the route is resumable. */
    STREAMING,
}
