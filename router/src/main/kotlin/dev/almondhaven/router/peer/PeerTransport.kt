package dev.almondhaven.router.peer

import arrow.core.Either
import dev.almondhaven.decision.membership.Member
import java.util.concurrent.CompletableFuture

/** Why a peer gave no answer. */
public sealed interface PeerError {
    /** The message certainly didn't reach the peer. */
    public data class NotSent(
        public val reason: String,
    ) : PeerError

    /** The peer may have got the message. */
    public data class NoAnswer(
        public val reason: String,
    ) : PeerError

    /** The peer refused the message. */
    public data class Rejected(
        public val status: Int,
    ) : PeerError
}

/** Sends messages of the peer protocol. */
public interface PeerTransport {
    /** Posts JSON [body] to `/peer/v1/[path]` of [to]; the right side is the JSON answer. Never blocks. */
    public fun post(
        to: Member,
        path: String,
        body: String,
    ): CompletableFuture<Either<PeerError, String>>
}

/** Answers messages of the peer protocol that arrive at one path. Runs on a blocking executor, not an event loop. */
public fun interface PeerHandler {
    /** The JSON answer to JSON [body]. */
    public fun handle(body: String): String
}
