package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells an [OutboundConnection] of received bytes before they are decoded. */
internal class RawByteCounter(
    private val connection: OutboundConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) connection.onRawBytes(message.readableBytes())
        context.fireChannelRead(message)
    }
}
