package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses that [connection] waits for, each after its whole head has been checked. Bytes that arrive while
 * none is due are not decoded, not even in part: the beginning of a message would stand in front of the next response.
 */
internal class ResponseDecoder(
    limits: HttpDecoderConfig,
    private val connection: OutboundConnection,
) : HttpResponseDecoder(limits) {
    private val head = ResponseHeadScanner()

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (!connection.isResponseDue) {
            connection.onUnsolicitedBytes(buffer.readableBytes())
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val problem = head.scan(buffer)
        if (problem != null) {
            buffer.skipBytes(buffer.readableBytes())
            return connection.onMalformedHead(problem)
        }
        if (!head.isComplete) return
        super.decode(context, buffer, out)
        if (out.lastOrNull() is LastHttpContent) head.reset()
    }

    override fun isContentAlwaysEmpty(response: HttpMessage): Boolean =
        connection.isHeadRequest || super.isContentAlwaysEmpty(response)
}
