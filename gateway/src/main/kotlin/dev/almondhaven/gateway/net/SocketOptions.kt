package dev.almondhaven.gateway.net

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Socket options that all connections share. */
internal object SocketOptions {
    /**
     * A connection whose other end has lost track of it is found within about three seconds: the probes start after one
     * second of silence, follow each second, and two unanswered ones end the connection.
     */
    val KEEP_ALIVE: Map<ChannelOption<*>, Any> =
        mapOf(
            ChannelOption.SO_KEEPALIVE to true,
            ChannelOption.TCP_NODELAY to true,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE) to PROBE_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL) to PROBE_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT) to PROBES,
        )

    private const val PROBE_SECONDS = 1
    private const val PROBES = 2
}
