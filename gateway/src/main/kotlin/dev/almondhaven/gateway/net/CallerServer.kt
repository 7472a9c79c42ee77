package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.EarlyListener
import dev.almondhaven.traffic.CallerLimits
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel

/** Listens for callers and tracks their connections. Must be used on the event loop only, except [listen]. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val limits: () -> CallerLimits,
    private val isStopping: () -> Boolean,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<CallerConnection>()

    /** Whether any caller is waiting for a response or is sending a request. */
    val isBusy: Boolean get() = connections.any { it.isBusy }

    /** Binds to [address], an `ip:port`. */
    fun listen(address: String): Channel {
        val bootstrap = bootstrap().channel(NioServerSocketChannel::class.java)
        bootstrap.option(ChannelOption.SO_BACKLOG, EarlyListener.BACKLOG)
        bootstrap.option(ChannelOption.SO_REUSEADDR, true)
        val host = address.substringBeforeLast(':')
        return bootstrap.bind(InetSocketAddress(host, address.substringAfterLast(':').toInt())).sync().channel()
    }

    /** Serves on [listener], a port that is open already. */
    fun serve(listener: ServerSocketChannel): Channel =
        bootstrap()
            .channelFactory { NioServerSocketChannel(listener) }
            .register()
            .sync()
            .channel()

    private fun bootstrap(): ServerBootstrap {
        val bootstrap = ServerBootstrap().group(group)
        SocketOptions.COMMON.forEach { (option, value) -> bootstrap.setChildOption(option, value) }
        // Reads until nothing is left, so that a close that follows a request is seen together with it.
        bootstrap.childOption(
            ChannelOption.RCVBUF_ALLOCATOR,
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS),
        )
        bootstrap.childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = accept(channel)
            },
        )
        return bootstrap
    }

    private fun accept(channel: Channel) {
        val connection = CallerConnection(limits, handler, isStopping, connections::remove)
        connections += connection
        channel.pipeline().addLast(
            FirstByteHandler(connection),
            StrictRequestDecoder(limits().headerBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    @Suppress("UNCHECKED_CAST")
    private fun ServerBootstrap.setChildOption(
        option: ChannelOption<*>,
        value: Any,
    ) {
        childOption(option as ChannelOption<Any>, value)
    }

    /** Ends the requests that are being served, since the process is about to exit. */
    fun endRequests(): Unit = connections.toList().forEach { it.endRequest() }

    /** Closes the connections on which no request is being read or served. */
    fun closeIdle(): Unit = connections.toList().forEach { it.closeIfIdle() }

    private companion object {
        /** Reads of one connection before the others get their turn. */
        const val MAX_READS = 16
    }
}
