package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.EndpointView
import dev.almondhaven.gateway.net.ConnectionPool

/** A listed endpoint, with the connections to it. */
internal class EndpointHandle(
    val state: EndpointView,
    val pool: ConnectionPool,
) {
    /** Monotonic time until which an entry that lapsed may come back; null while it is listed. */
    var missingUntil: Long? = null

    /** Monotonic time at which anything last came from the endpoint. */
    var heardAt = 0L
}
