package dev.almondhaven.gateway.net

/** A request to an endpoint or to the store, its body complete. */
internal class OutboundRequest(
    val method: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)
