package dev.almondhaven.gateway.call

/** A whole answer of an endpoint that tells of a failure. */
internal class ErrorResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)
