package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.router.endpoint.EndpointConnection
import java.util.concurrent.CompletableFuture

/** How an attempt ended, as far as it tells something about its endpoint. */
public enum class AttemptResult {
    /** The endpoint answered whole. */
    SUCCEEDED,

    /** The endpoint failed or fell silent. */
    FAILED,

    /** No connection could be opened, or it closed under the attempt: the endpoint may have restarted. */
    CONNECTION_LOST,

    /** The endpoint answered that it has too much to do. */
    OVERLOADED,

    /** Ended for a reason that isn't the endpoint's, for example a caller that left. */
    ABANDONED,
}

/** One try of a request at one endpoint. Safe to use from any thread. */
public class Attempt {
    private val ended = CompletableFuture<AttemptResult>()

    /** The endpoint that was chosen for it, if it came so far. */
    @Volatile
    public var endpoint: Endpoint? = null
        private set

    /** Monotonic nanoseconds at which the first token or the whole answer came; 0 while there is none. */
    @Volatile
    public var firstTokenAt: Long = 0
        private set

    /** The connection that it uses, once it is known. */
    @Volatile
    public var connection: EndpointConnection? = null
        private set

    /** Notes the connection. */
    public fun recordConnection(connection: EndpointConnection) {
        this.connection = connection
    }

    /** Notes the chosen endpoint. */
    public fun recordEndpoint(endpoint: Endpoint) {
        this.endpoint = endpoint
    }

    /** Notes that the answer began [now]; only the first call has an effect. */
    public fun recordFirstToken(now: Long) {
        if (firstTokenAt == 0L) firstTokenAt = now
    }

    /** Notes the end; only the first call has an effect. */
    public fun recordEnd(result: AttemptResult) {
        ended.complete(result)
    }

    /** Runs [action] once the attempt has ended. */
    public fun whenEnded(action: (AttemptResult) -> Unit) {
        ended.thenAccept(action)
    }
}
