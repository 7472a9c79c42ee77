package dev.almondhaven.gateway.state

/** When a request was sent to another router, by the monotonic clock and the time of day. */
internal class RelayRequestTime(
    val steadyNanos: Long,
    val wallMillis: Long,
)
