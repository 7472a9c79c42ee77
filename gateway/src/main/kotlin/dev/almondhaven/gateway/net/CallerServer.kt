package dev.almondhaven.gateway.net

import dev.almondhaven.traffic.CallerLimits
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** Listens for callers. Lives on the event loop, but for [listen]. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val limits: () -> CallerLimits,
    private val closing: () -> Boolean,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<CallerConnection>()

    /** Whether any caller waits for an answer or is sending a request. */
    val busy: Boolean get() = connections.any { it.busy }

    /** Opens the port at [address], an `ip:port`. */
    fun listen(address: String): Channel {
        val bootstrap = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG)
        bootstrap.option(ChannelOption.SO_REUSEADDR, true)
        SocketOptions.KEEP_ALIVE.forEach { (option, value) -> bootstrap.set(option, value) }
        bootstrap.childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = accept(channel)
            },
        )
        val host = address.substringBeforeLast(':')
        return bootstrap.bind(InetSocketAddress(host, address.substringAfterLast(':').toInt())).sync().channel()
    }

    private fun accept(channel: Channel) {
        val connection = CallerConnection(limits, handler, closing, connections::remove)
        connections += connection
        channel.pipeline().addLast(
            FirstByteHandler(connection),
            StrictRequestDecoder(limits().headerBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    @Suppress("UNCHECKED_CAST")
    private fun ServerBootstrap.set(
        option: ChannelOption<*>,
        value: Any,
    ) {
        childOption(option as ChannelOption<Any>, value)
    }

    /** Ends the connections on which no request is being read or served. */
    fun closeIdle(): Unit = connections.toList().forEach { it.closeIfIdle() }

    private companion object {
        /** Connections that come at once when a failure domain's callers move here. */
        const val BACKLOG = 1_024
    }
}
