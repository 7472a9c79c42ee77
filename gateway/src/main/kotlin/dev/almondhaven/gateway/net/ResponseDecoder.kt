package dev.almondhaven.gateway.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of one connection, and tells whether bytes have arrived behind the last one. */
internal class ResponseDecoder(
    limits: HttpDecoderConfig,
) : HttpResponseDecoder(limits) {
    /** Whether the request in flight is a HEAD request, whose response has no body whatever its head says. */
    var isHeadRequest = false

    /** Number of received bytes that no response has taken yet. */
    val unreadBytes: Int get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(response: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(response)
}
