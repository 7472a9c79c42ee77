package dev.almondhaven.router.peer

import arrow.core.Either
import dev.almondhaven.decision.distribution.PeerRequest
import java.util.concurrent.CompletableFuture

/** A task in the mailbox of the [PeerController]. */
internal sealed interface PeerTask {
    /** Answers a probe from another router; [response] is completed with the response body. */
    class AnswerProbe(
        val body: String,
        val response: CompletableFuture<String>,
    ) : PeerTask

    /** Probes a third router on behalf of another one; [reached] is completed with whether it responded. */
    class RelayProbe(
        val body: String,
        val reached: CompletableFuture<Boolean>,
    ) : PeerTask

    /** Processes the response to [request], or its failure. */
    class CompleteRequest(
        val request: PeerRequest,
        val result: Either<PeerError, String>,
    ) : PeerTask

    /** Announces that this router leaves the fleet; [notified] is completed once peers were notified. */
    class Leave(
        val notified: CompletableFuture<Unit>,
    ) : PeerTask
}
