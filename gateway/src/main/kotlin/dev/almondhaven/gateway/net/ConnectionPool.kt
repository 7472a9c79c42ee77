package dev.almondhaven.gateway.net

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Pool of connections to one address. It reuses the most recently used idle connection first, so that surplus
 * connections left over from a peak reach their idle timeout. Must be used on the event loop only.
 *
 * @property onBytesReceived called whenever bytes arrive from the address.
 * @property onConnected called with the milliseconds that it took to open a connection.
 */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val address: String,
    private val onBytesReceived: () -> Unit = {},
    private val onConnected: (millis: Double) -> Unit = {},
) : AutoCloseable {
    private val idle = ArrayDeque<OutboundConnection>()
    private var isClosed = false
    private val target = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    /**
     * Sends [request] on a connection that has been idle for less than [maxIdle] and has not carried it before, or on a
     * new one.
     */
    fun send(
        request: OutboundRequest,
        listener: OutboundListener,
        maxIdle: Duration = Duration.INFINITE,
    ): OutboundCall {
        val call = OutboundCall()
        val ready = acquireIdle(request, maxIdle)
        if (ready != null) {
            call.attach(ready)
            ready.send(request, listener)
        } else {
            connect(request, listener, call)
        }
        return call
    }

    /** The most recently used connection that may carry [request] and has been idle for less than [maxIdle]. */
    private fun acquireIdle(
        request: OutboundRequest,
        maxIdle: Duration,
    ): OutboundConnection? {
        val now = System.nanoTime()
        closeExpired(now)
        val index = idle.indexOfLast { it.mayCarry(request) && now - it.idleSince < maxIdle.inWholeNanoseconds }
        return if (index < 0) null else idle.removeAt(index)
    }

    private fun closeExpired(now: Long) {
        idle.removeAll { connection ->
            // Half of the peer's idle timeout leaves a margin for the transit time and for clock drift.
            val isUsable = connection.isOpen && now - connection.idleSince < connection.idleTimeoutNanos / 2
            if (!isUsable) connection.cancel()
            !isUsable
        }
    }

    private fun connect(
        request: OutboundRequest,
        listener: OutboundListener,
        call: OutboundCall,
    ) {
        lateinit var connection: OutboundConnection
        val startedAt = System.nanoTime()
        bootstrap { connection = it }.connect(target).addListener { opened ->
            if (opened.isSuccess) onConnected((System.nanoTime() - startedAt) / NANOS_PER_MILLI)
            when {
                !opened.isSuccess -> {
                    if (!call.isCancelled) {
                        listener.onFailure(
                            sent = false,
                            reason = "${opened.cause()?.message}",
                        )
                    }
                }

                else -> {
                    // A caller may have left while the connection was opened; the event loop first reads all others.
                    loop.execute { sendUnlessCancelled(connection, request, listener, call) }
                }
            }
        }
    }

    /** Tells whether a process listens at the address, by opening a connection that carries no request. */
    fun probe(onResult: (ProbeResult) -> Unit) {
        lateinit var connection: OutboundConnection
        bootstrap { connection = it }.connect(target).addListener { opened ->
            if (opened.isSuccess) connection.cancel()
            onResult(
                when (opened.cause()) {
                    null -> ProbeResult.LISTENING
                    is ConnectTimeoutException -> ProbeResult.SILENT
                    is ConnectException -> ProbeResult.REFUSED
                    else -> ProbeResult.SILENT
                },
            )
        }
    }

    /** Prepares a connection; [onCreated] gets it before it is opened. */
    private fun bootstrap(onCreated: (OutboundConnection) -> Unit): Bootstrap {
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
        SocketOptions.COMMON.forEach { (option, value) -> bootstrap.setOption(option, value) }
        return bootstrap.handler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val connection = OutboundConnection(channel, address, ::release, onBytesReceived)
                    onCreated(connection)
                    channel.pipeline().addLast(
                        RawByteCounter(connection),
                        ResponseDecoder(DECODER, connection),
                        HttpRequestEncoder(),
                        connection,
                    )
                }
            },
        )
    }

    private fun sendUnlessCancelled(
        connection: OutboundConnection,
        request: OutboundRequest,
        listener: OutboundListener,
        call: OutboundCall,
    ) {
        if (call.isCancelled) return release(connection)
        call.attach(connection)
        connection.send(request, listener)
    }

    @Suppress("UNCHECKED_CAST")
    private fun Bootstrap.setOption(
        option: ChannelOption<*>,
        value: Any,
    ) {
        option(option as ChannelOption<Any>, value)
    }

    private fun release(connection: OutboundConnection) {
        if (isClosed || idle.size >= MAX_IDLE_CONNECTIONS) connection.cancel() else idle.addLast(connection)
    }

    /** Closes the idle connections; busy ones close after their response. */
    override fun close() {
        isClosed = true
        idle.forEach { it.cancel() }
        idle.clear()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6

        /** Round trips take a few milliseconds; TCP retransmits a lost SYN only after a second. */
        val CONNECT_TIMEOUT = 400.milliseconds

        /** Covers the concurrent requests of one router at one endpoint. */
        const val MAX_IDLE_CONNECTIONS = 64
        val DECODER: HttpDecoderConfig =
            HttpDecoderConfig()
                .setMaxInitialLineLength(8_192)
                .setMaxHeaderSize(65_536)
                .setMaxChunkSize(65_536)
    }
}
