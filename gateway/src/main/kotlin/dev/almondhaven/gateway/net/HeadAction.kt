package dev.almondhaven.gateway.net

/** What a connection does with the content of a response after its head. */
internal enum class HeadAction {
    /** Passes the content on to the listener. */
    TAKE,

    /** Discards the response, which belongs to another request, and waits for the next one. */
    SKIP,
}
