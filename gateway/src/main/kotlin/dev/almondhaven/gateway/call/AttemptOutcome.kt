package dev.almondhaven.gateway.call

/** How an attempt at one endpoint ended without serving the caller. */
internal sealed interface AttemptOutcome {
    /**
     * The endpoint states that it has not executed the request, or no byte of the request was sent, in which case it
     * has not [reachedEndpoint].
     */
    data class NotExecuted(
        val reason: String,
        val reachedEndpoint: Boolean,
    ) : AttemptOutcome

    /** The endpoint returned an error response. */
    class Failed(
        val response: ErrorResponse,
    ) : AttemptOutcome

    /**
     * The request may have been executed; its response is lost, unusable or late. [mayHaveCrashed] is true if the
     * connection broke before the answer had begun, possibly because the request crashed the endpoint.
     */
    data class Unknown(
        val reason: String,
        val mayHaveCrashed: Boolean = false,
    ) : AttemptOutcome

    /** The attempt was cancelled before its answer began, since the prompt's [parts] crash endpoints. */
    data class Quarantined(
        val parts: Set<String>,
    ) : AttemptOutcome

    /** The response was discarded, and the request escalates to the larger [model]. */
    data class Escalated(
        val model: String,
    ) : AttemptOutcome
}
