package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ConnectionPoolListenerAdapter
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.util.EventLoopGroups
import dev.almondhaven.catalogue.Endpoint
import io.netty.channel.EventLoopGroup
import io.netty.util.AttributeMap
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** HTTP clients of the endpoints, one for each address, on the event loops that serve the callers. */
public class EndpointClients(
    workers: EventLoopGroup,
    connectTimeout: Duration,
    pingInterval: Duration,
) : AutoCloseable {
    private val closings = Closings()
    private val factory =
        ClientFactory
            .builder()
            .workerGroup(workers, false)
            .eventLoopSchedulerFactory { SameEventLoopScheduler(it) }
            .connectTimeoutMillis(connectTimeout.inWholeMilliseconds)
            .pingIntervalMillis(pingInterval.inWholeMilliseconds)
            .idleTimeoutMillis(0)
            .connectionPoolListener(closings)
            .build()
    private val clients = ConcurrentHashMap<String, WebClient>()

    /** The client of [endpoint]. */
    public fun of(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint.address, ::build)

    /** Calls [action] with `ip:port` whenever a connection to there has closed; replaces what was set before. */
    public fun onConnectionClosed(action: (String) -> Unit) {
        closings.action = action
    }

    private fun build(address: String): WebClient =
        WebClient
            .builder("http://$address")
            .factory(factory)
            .maxResponseLength(MAXIMUM_ANSWER_BYTES)
            .build()

    override fun close() {
        factory.closeAsync()
    }

    private class Closings : ConnectionPoolListenerAdapter() {
        @Volatile
        var action: (String) -> Unit = {}

        override fun connectionClosed(
            protocol: SessionProtocol,
            remoteAddress: InetSocketAddress,
            localAddress: InetSocketAddress,
            attributes: AttributeMap,
        ): Unit = action("${remoteAddress.address.hostAddress}:${remoteAddress.port}")
    }

    public companion object {
        private const val MAXIMUM_ANSWER_BYTES = 64_000_000L

        /** Event loops for callers and endpoints together. */
        public fun newWorkers(threads: Int): EventLoopGroup = EventLoopGroups.newEventLoopGroup(threads, "router")
    }
}
