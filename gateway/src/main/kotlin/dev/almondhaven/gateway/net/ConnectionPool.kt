package dev.almondhaven.gateway.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Connections to one address. The newest idle connection goes first, so that those a peak left behind age and end.
 * Lives on the event loop.
 *
 * @property onBytes called whenever anything arrives from the address.
 */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val address: String,
    private val onBytes: () -> Unit = {},
) : AutoCloseable {
    private val idle = ArrayDeque<OutboundConnection>()
    private var closed = false
    private val target = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    /** Sends [request] on an idle connection that has waited less than [longestIdle], or on a new one. */
    fun send(
        request: OutboundRequest,
        listener: OutboundListener,
        longestIdle: Duration = Duration.INFINITE,
    ): OutboundCall {
        val call = OutboundCall()
        val ready = takeIdle(longestIdle)
        if (ready != null) {
            call.carriedBy(ready)
            ready.send(request, listener)
        } else {
            connect(request, listener, call)
        }
        return call
    }

    private fun takeIdle(longestIdle: Duration): OutboundConnection? {
        val now = System.nanoTime()
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            val age = now - connection.idleSince
            // Half of its life leaves room for the way there and for a clock that runs differently.
            if (connection.open && age < connection.idleLifeNanos / 2) {
                if (age < longestIdle.inWholeNanoseconds) return connection
                idle.addLast(connection)
                return null
            }
            connection.cancel()
        }
    }

    private fun connect(
        request: OutboundRequest,
        listener: OutboundListener,
        call: OutboundCall,
    ) {
        lateinit var connection: OutboundConnection
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_PATIENCE.inWholeMilliseconds.toInt())
        SocketOptions.KEEP_ALIVE.forEach { (option, value) -> bootstrap.set(option, value) }
        bootstrap.handler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    connection = OutboundConnection(channel, address, ::keep, onBytes)
                    channel.pipeline().addLast(HttpClientCodec(DECODER, false, false), connection)
                }
            },
        )
        bootstrap.connect(target).addListener { opened ->
            when {
                !opened.isSuccess -> {
                    if (!call.cancelled) {
                        listener.broken(
                            sent = false,
                            reason = "${opened.cause()?.message}",
                        )
                    }
                }

                call.cancelled -> {
                    keep(connection)
                }

                else -> {
                    call.carriedBy(connection).also { connection.send(request, listener) }
                }
            }
        }
    }

    @Suppress("UNCHECKED_CAST")
    private fun Bootstrap.set(
        option: ChannelOption<*>,
        value: Any,
    ) {
        option(option as ChannelOption<Any>, value)
    }

    private fun keep(connection: OutboundConnection) {
        if (closed || idle.size >= MOST_IDLE) connection.cancel() else idle.addLast(connection)
    }

    /** Ends the idle connections; those in work end after their answer. */
    override fun close() {
        closed = true
        idle.forEach { it.cancel() }
        idle.clear()
    }

    private companion object {
        /** Ways are a few milliseconds long; the first repeat of a lost opening packet comes after a second. */
        val CONNECT_PATIENCE = 400.milliseconds

        /** Enough for the requests that one router has at one endpoint at a time. */
        const val MOST_IDLE = 64
        val DECODER: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(8_192)
                .setMaxHeaderSize(65_536)
                .setMaxChunkSize(65_536)
    }
}
