package dev.almondhaven.gateway.net

import io.netty.handler.codec.http.HttpHeaders

/**
 * A complete request of a caller.
 *
 * @property target path and query as the caller sent them.
 * @property receivedAt monotonic time in nanoseconds at which its head was read.
 * @property keepAlive whether the caller keeps its connection open for further requests.
 */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val receivedAt: Long,
    val keepAlive: Boolean,
) {
    /** The path without its query. */
    val path: String get() = target.substringBefore('?')

    /** The host in lower case and without a port; empty if the header is missing. */
    val host: String
        get() =
            headers
                .get("Host")
                .orEmpty()
                .substringBefore(':')
                .lowercase()
}
