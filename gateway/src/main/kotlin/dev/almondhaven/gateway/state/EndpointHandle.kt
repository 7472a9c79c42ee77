package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.EndpointView
import dev.almondhaven.gateway.net.ConnectionPool

/** A listed endpoint with its connection pool. */
internal class EndpointHandle(
    val state: EndpointView,
    val pool: ConnectionPool,
) {
    /** Monotonic time in nanoseconds until which a lapsed entry may reappear in the list; null while it is listed. */
    var graceUntil: Long? = null

    /** Monotonic time in nanoseconds at which the last byte arrived from the endpoint. */
    var lastReceivedAt = 0L
}
