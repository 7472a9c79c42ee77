package dev.almondhaven.router.peer

import arrow.core.Either
import dev.almondhaven.decision.membership.Member
import java.util.concurrent.CompletableFuture

/** Why a message to a peer got no response. */
public sealed interface PeerError {
    /** The message was not sent, so the peer certainly didn't process it. */
    public data class NotSent(
        public val reason: String,
    ) : PeerError

    /** No valid response arrived; the peer may have processed the message. */
    public data class NoAnswer(
        public val reason: String,
    ) : PeerError

    /** The peer rejected the message with the HTTP status code [status]. */
    public data class Rejected(
        public val status: Int,
    ) : PeerError
}

/** Sends messages of the peer protocol to other routers. */
public interface PeerTransport {
    /** Posts the JSON [body] to `/peer/v1/[path]` of [to]; the right side is the JSON response. Never blocks. */
    public fun post(
        to: Member,
        path: String,
        body: String,
    ): CompletableFuture<Either<PeerError, String>>
}

/** Handles messages of the peer protocol to one path. Runs on a blocking executor, not on an event loop. */
public fun interface PeerHandler {
    /** Returns the JSON response to the JSON [body]; an [IllegalArgumentException] rejects the message. */
    public fun handle(body: String): String
}
