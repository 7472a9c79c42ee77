package dev.almondhaven.gateway.net

/** A request to an endpoint or to the store, with its complete body. */
internal class OutboundRequest(
    val method: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)
