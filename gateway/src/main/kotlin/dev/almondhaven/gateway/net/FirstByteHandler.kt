package dev.almondhaven.gateway.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells a [CallerConnection] that bytes have come, before they are decoded: its header timeout starts there. */
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
