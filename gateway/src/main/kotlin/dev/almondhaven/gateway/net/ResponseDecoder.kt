package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses that [connection] waits for. Bytes that arrive while none is due are not decoded, not even in
 * part: the beginning of a message would stand in front of the next response.
 */
internal class ResponseDecoder(
    limits: HttpDecoderConfig,
    private val connection: OutboundConnection,
) : HttpResponseDecoder(limits) {
    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (connection.isResponseDue) return super.decode(context, buffer, out)
        connection.onUnsolicitedBytes(buffer.readableBytes())
        buffer.skipBytes(buffer.readableBytes())
    }

    override fun isContentAlwaysEmpty(response: HttpMessage): Boolean =
        connection.isHeadRequest || super.isContentAlwaysEmpty(response)
}
