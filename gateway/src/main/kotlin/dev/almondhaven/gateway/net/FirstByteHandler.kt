package dev.almondhaven.gateway.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notifies a [CallerConnection] of received bytes before they are decoded, which starts its header timeout. */
internal class FirstByteHandler(
    private val connection: CallerConnection,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.onRequestStart()
        context.fireChannelRead(message)
    }
}
