package dev.almondhaven.gateway.call

/** How an attempt at one endpoint ended without serving the caller. */
internal sealed interface AttemptOutcome {
    /** The endpoint states that it has not run the request, or no byte has left for it: then it has not [arrived]. */
    data class NotExecuted(
        val reason: String,
        val arrived: Boolean,
    ) : AttemptOutcome

    /** The endpoint has answered with a failure. */
    class Failed(
        val answer: ErrorResponse,
    ) : AttemptOutcome

    /** The request may have run; its answer is lost, unusable or late. */
    data class Unknown(
        val reason: String,
    ) : AttemptOutcome

    /** The answer was given up in favour of a larger model. */
    data class Escalated(
        val model: String,
    ) : AttemptOutcome
}
