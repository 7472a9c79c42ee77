package dev.almondhaven.traffic

/** What may be repeated of a route's requests. */
public enum class RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** Runs once at most for each request of a caller. */
    NON_IDEMPOTENT,

    /** Answered by a series of events; repeated only where the route can be resumed. */
    STREAMING,
}
