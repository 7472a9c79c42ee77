package dev.almondhaven.gateway.call

/** A complete error response of an endpoint. */
internal class ErrorResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)
