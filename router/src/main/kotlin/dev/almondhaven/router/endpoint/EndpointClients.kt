package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.util.EventLoopGroups
import dev.almondhaven.catalogue.Endpoint
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** HTTP clients of the endpoints, one for each address, on the event loops that serve the callers. */
public class EndpointClients(
    workers: EventLoopGroup,
    connectTimeout: Duration,
    pingInterval: Duration,
) : AutoCloseable {
    private val factory =
        ClientFactory
            .builder()
            .workerGroup(workers, false)
            .connectTimeoutMillis(connectTimeout.inWholeMilliseconds)
            .pingIntervalMillis(pingInterval.inWholeMilliseconds)
            .build()
    private val clients = ConcurrentHashMap<String, WebClient>()

    /** The client of [endpoint]. */
    public fun of(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint.address, ::build)

    private fun build(address: String): WebClient =
        WebClient
            .builder("http://$address")
            .factory(factory)
            .maxResponseLength(MAXIMUM_ANSWER_BYTES)
            .build()

    override fun close() {
        factory.closeAsync()
    }

    public companion object {
        private const val MAXIMUM_ANSWER_BYTES = 64_000_000L

        /** Event loops for callers and endpoints together. */
        public fun newWorkers(threads: Int): EventLoopGroup = EventLoopGroups.newEventLoopGroup(threads, "router")
    }
}
