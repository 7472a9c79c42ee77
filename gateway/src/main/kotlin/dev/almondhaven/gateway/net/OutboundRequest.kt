package dev.almondhaven.gateway.net

/**
 * A request to an endpoint or to the store, with its complete body.
 *
 * @property id the id by which a response tells which request it answers; null if responses carry none. A connection
 * carries each id once, since a response can't tell two sends of the same request apart.
 */
internal class OutboundRequest(
    val method: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val id: String? = null,
)
