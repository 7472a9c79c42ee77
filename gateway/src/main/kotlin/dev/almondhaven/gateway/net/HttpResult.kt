package dev.almondhaven.gateway.net

/** How a request of an [HttpClient] ended. */
internal sealed interface HttpResult {
    class Response(
        val status: Int,
        val body: String,
    ) : HttpResult

    /**
     * No complete response arrived.
     *
     * @property sent false only if no byte of the request was sent.
     * @property isTooLong whether the response was given up since it is longer than this router holds.
     */
    class Failure(
        val sent: Boolean,
        val reason: String,
        val isTooLong: Boolean = false,
    ) : HttpResult
}
