package dev.almondhaven.gateway.net

/** How a request of an [HttpClient] ended. */
internal sealed interface HttpResult {
    class Response(
        val status: Int,
        val body: String,
    ) : HttpResult

    /** No complete response arrived. [sent] is false only if no byte of the request was sent. */
    class Failure(
        val sent: Boolean,
        val reason: String,
    ) : HttpResult
}
