package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.EarlyListener
import dev.almondhaven.gateway.duty.forEachIsolated
import dev.almondhaven.model.LogEvent
import dev.almondhaven.traffic.CallerLimits
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ServerSocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Listens for callers and tracks their connections. Must be used on the event loop only, except [listen] and [serve].
 *
 * @property quietPeriod how long a connection must have been idle before [drain] closes it.
 */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val limits: () -> CallerLimits,
    private val isStopping: () -> Boolean,
    private val handler: RequestHandler,
    private val quietPeriod: Duration = QUIET_PERIOD,
) {
    /** An open port: the socket, and the channel that serves on it. */
    private class Port(
        val socket: ServerSocketChannel,
        val channel: Channel,
    )

    private val connections = HashSet<CallerConnection>()

    /** The port on which new connections are accepted; null before it is opened and after it is closed. */
    @Volatile
    private var port: Port? = null

    /** Whether any caller is sending a request, waits for a response, or has not been sent all of one. */
    val isBusy: Boolean get() = connections.any { it.isBusy }

    /** Binds to [address], an `ip:port`. */
    fun listen(address: String): Channel {
        val host = address.substringBeforeLast(':')
        val socket = ServerSocketChannel.open()
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        try {
            socket.bind(InetSocketAddress(host, address.substringAfterLast(':').toInt()), EarlyListener.BACKLOG)
        } catch (failure: IOException) {
            socket.close()
            throw failure
        }
        return serve(socket)
    }

    /** Serves on [listener], a port that is open already. */
    fun serve(listener: ServerSocketChannel): Channel {
        val channel =
            bootstrap()
                .channelFactory { NioServerSocketChannel(listener) }
                .register()
                .sync()
                .channel()
        port = Port(listener, channel)
        return channel
    }

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
        val decoder = StrictRequestDecoder(limits().headerBytes)
        val connection = CallerConnection(limits, handler, isStopping, decoder, connections::remove)
        connections += connection
        channel.pipeline().addLast(
            FirstByteHandler(connection),
            decoder,
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
    fun endRequests(): Unit = connections.toList().forEachIsolated("end of requests") { it.endRequest() }

    /**
     * Closes the idle connections, and the port once no connection is busy. Returns whether the port and all connections
     * are closed, so that no request can be read any more; until then it is to be called again after a pause. What has
     * been accepted, or waits to be accepted, is served first.
     */
    fun drain(): Boolean {
        connections.toList().forEachIsolated("end of idle connections") { it.closeIfIdle(quietPeriod) }
        if (port == null) return connections.isEmpty()
        if (!isBusy) stopListening()
        // The selector releases the port in its next turn.
        return false
    }

    /** Closes the port. The connections that wait to be accepted are accepted, since closing it would reset them. */
    fun stopListening() {
        val open = port ?: return
        port = null
        try {
            generateSequence { open.socket.accept() }.forEach { socket ->
                open.channel.pipeline().fireChannelRead(NioSocketChannel(open.channel, socket))
            }
        } catch (failure: IOException) {
            LogEvent.DUTY_FAILED.log(logger, failure) { "duty=\"accept the last connections\"" }
        }
        open.channel.close()
    }

    private companion object {
        /** A new connection brings its request within a few milliseconds; a caller that reuses one is as quick. */
        val QUIET_PERIOD = 100.milliseconds

        /** Reads of one connection before the others get their turn. */
        const val MAX_READS = 16
    }
}
