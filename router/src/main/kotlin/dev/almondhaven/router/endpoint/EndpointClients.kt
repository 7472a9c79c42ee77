package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ConnectionPoolListenerAdapter
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.util.EventLoopGroups
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.store.ResponseHeadGuard
import io.netty.channel.EventLoopGroup
import io.netty.util.AttributeMap
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** HTTP clients for the endpoints, one per address. They run on the event loops that serve the callers. */
public class EndpointClients(
    workers: EventLoopGroup,
    connectTimeout: Duration,
    pingInterval: Duration,
) : AutoCloseable {
    private val closeListener = CloseListener()
    private val factory =
        ResponseHeadGuard
            .install(ClientFactory.builder())
            .workerGroup(workers, false)
            .eventLoopSchedulerFactory { SameEventLoopScheduler(it) }
            .connectTimeoutMillis(connectTimeout.inWholeMilliseconds)
            .pingIntervalMillis(pingInterval.inWholeMilliseconds)
            .idleTimeoutMillis(0)
            .connectionPoolListener(closeListener)
            .build()
    private val clients = ConcurrentHashMap<String, WebClient>()

    /** The client for [endpoint]. */
    public fun of(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint.address, ::build)

    /**
     * Sets the [action] to call with the remote `ip:port` when a connection has closed; replaces any earlier one.
     */
    public fun onConnectionClosed(action: (String) -> Unit) {
        closeListener.action = action
    }

    private fun build(address: String): WebClient =
        WebClient
            .builder("http://$address")
            .factory(factory)
            .maxResponseLength(MAX_ANSWER_BYTES)
            .build()

    override fun close() {
        factory.closeAsync()
    }

    private class CloseListener : ConnectionPoolListenerAdapter() {
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
        private const val MAX_ANSWER_BYTES = 64_000_000L

        /** Creates the event loops that serve both callers and endpoints. */
        public fun newWorkers(threads: Int): EventLoopGroup = EventLoopGroups.newEventLoopGroup(threads, "router")
    }
}
