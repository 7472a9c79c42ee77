package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Takes the answer to one outbound request. All calls come on the event loop; [end] or [broken] is the last one. */
internal interface OutboundListener {
    fun head(
        status: Int,
        headers: HttpHeaders,
    ): HeadAction

    /** [bytes] are valid during the call only. */
    fun content(bytes: ByteBuf)

    /** The answer is complete. */
    fun end()

    /** No complete answer will come. [sent] is false only if no byte of the request has left. */
    fun broken(
        sent: Boolean,
        reason: String,
    )
}
