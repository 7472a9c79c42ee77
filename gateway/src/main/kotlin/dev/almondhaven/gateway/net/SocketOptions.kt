package dev.almondhaven.gateway.net

import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Socket options of all connections. */
internal object SocketOptions {
    /**
     * Detects a connection that the peer no longer knows within about three seconds: keep-alive probes start after one
     * second of silence and repeat every second, and two unanswered ones close the connection.
     */
    val COMMON: Map<ChannelOption<*>, Any> =
        mapOf(
            ChannelOption.SO_KEEPALIVE to true,
            ChannelOption.TCP_NODELAY to true,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE) to PROBE_INTERVAL_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL) to PROBE_INTERVAL_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT) to MAX_UNANSWERED_PROBES,
        )

    private const val PROBE_INTERVAL_SECONDS = 1
    private const val MAX_UNANSWERED_PROBES = 2
}
