package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.router.endpoint.EndpointConnection
import java.util.concurrent.CompletableFuture

/** How an attempt ended, as seen by the health tracking of its endpoint. */
public enum class AttemptResult {
    /** The endpoint sent a complete answer. */
    SUCCEEDED,

    /** The endpoint returned an error or sent nothing before the deadline. */
    FAILED,

    /** No connection could be opened, or it closed during the attempt: the endpoint may have restarted. */
    CONNECTION_LOST,

    /** The endpoint rejected the request because of overload (status 429 or 503). */
    OVERLOADED,

    /** Ended for a reason other than the endpoint, for example because the caller disconnected. */
    ABANDONED,
}

/** One attempt to run a request on one endpoint. Thread-safe. */
public class Attempt {
    private val ended = CompletableFuture<AttemptResult>()

    /** The chosen endpoint; null until one is chosen. */
    @Volatile
    public var endpoint: Endpoint? = null
        private set

    /** Monotonic nanoseconds at which the first token or a complete answer arrived; 0 before that. */
    @Volatile
    public var firstTokenAt: Long = 0
        private set

    /** The connection that carries the attempt; null until it is known. */
    @Volatile
    public var connection: EndpointConnection? = null
        private set

    /** Records the connection that carries the attempt. */
    public fun recordConnection(connection: EndpointConnection) {
        this.connection = connection
    }

    /** Records the chosen endpoint. */
    public fun recordEndpoint(endpoint: Endpoint) {
        this.endpoint = endpoint
    }

    /** Records the arrival of the first token at [now]; later calls have no effect. */
    public fun recordFirstToken(now: Long) {
        if (firstTokenAt == 0L) firstTokenAt = now
    }

    /** Records how the attempt ended; later calls have no effect. */
    public fun recordEnd(result: AttemptResult) {
        ended.complete(result)
    }

    /** Runs [action] when the attempt has ended, at once if it already has. */
    public fun whenEnded(action: (AttemptResult) -> Unit) {
        ended.thenAccept(action)
    }
}
