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

    /** Requests in flight whose last endpoint crashed before it began to answer them. */
    var suspectsInFlight = 0

    private val cancelled = ArrayDeque<CancelledAttempt>()

    /** Records an attempt that was cancelled before its answer began; the endpoint may still be at work on it. */
    fun recordCancelled(attempt: CancelledAttempt) {
        cancelled += attempt
        if (cancelled.size > MAX_CANCELLED) cancelled.removeFirst()
    }

    /** Removes and returns the attempts that were cancelled since [since], in monotonic nanoseconds. */
    fun takeCancelled(since: Long): List<CancelledAttempt> =
        cancelled.filter { it.at - since >= 0 }.also { cancelled.clear() }

    /** Monotonic time in nanoseconds at which the last byte arrived from the endpoint. */
    var lastReceivedAt = 0L

    private companion object {
        const val MAX_CANCELLED = 64
    }
}
