package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Receives the response to one outbound request. All calls come on the event loop; [onEnd] or [onFailure] is the last
 * one.
 */
internal interface OutboundListener {
    fun onHead(
        status: Int,
        headers: HttpHeaders,
    ): HeadAction

    /** Receives a part of the body; [bytes] are valid during the call only. */
    fun onContent(bytes: ByteBuf)

    /** The response is complete. */
    fun onEnd()

    /** No complete response will arrive. [sent] is false only if no byte of the request was sent. */
    fun onFailure(
        sent: Boolean,
        reason: String,
    )
}
