package dev.almondhaven.gateway.net

/** What a connection does with an answer after its head. */
internal enum class HeadAction {
    /** Pass its content on. */
    TAKE,

    /** It belongs to no request that waits here: drop it, and wait for the next one. */
    SKIP,
}
