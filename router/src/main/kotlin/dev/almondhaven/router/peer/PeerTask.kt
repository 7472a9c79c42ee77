package dev.almondhaven.router.peer

import arrow.core.Either
import dev.almondhaven.decision.distribution.PeerRequest
import java.util.concurrent.CompletableFuture

/** Work on the ring of the [PeerController]. */
internal sealed interface PeerTask {
    /** A probe came in; [answer] is completed with what to answer. */
    class Probe(
        val body: String,
        val answer: CompletableFuture<String>,
    ) : PeerTask

    /** Another router asks for a probe of a third one; [reached] is completed with the result. */
    class Relay(
        val body: String,
        val reached: CompletableFuture<Boolean>,
    ) : PeerTask

    /** A message of this router was answered or failed. */
    class Completed(
        val request: PeerRequest,
        val answer: Either<PeerError, String>,
    ) : PeerTask

    /** The router stops. */
    class Leave(
        val told: CompletableFuture<Unit>,
    ) : PeerTask
}
