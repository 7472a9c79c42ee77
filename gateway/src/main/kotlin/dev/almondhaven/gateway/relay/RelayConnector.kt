package dev.almondhaven.gateway.relay

import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.gateway.net.HttpClient
import dev.almondhaven.gateway.net.HttpResult
import dev.almondhaven.gateway.net.OutboundRequest
import io.netty.channel.EventLoop
import kotlin.time.Duration

/** Sends relay requests to other routers. */
internal fun interface RelayConnector {
    /** Sends [query] to the router at [address], and calls [onResult] once, after [timeout] at the latest. */
    fun ask(
        address: String,
        query: RelayQuery,
        timeout: Duration,
        onResult: (HttpResult) -> Unit,
    )
}

/** Keeps a connection to each router that it asks. Must be used on the event loop only. */
internal class HttpRelayConnector(
    private val loop: EventLoop,
) : RelayConnector {
    private val clients = HashMap<String, HttpClient>()

    override fun ask(
        address: String,
        query: RelayQuery,
        timeout: Duration,
        onResult: (HttpResult) -> Unit,
    ) {
        val client = clients.getOrPut(address) { HttpClient(loop, ConnectionPool(loop, address)) }
        client.send(OutboundRequest("GET", query.encode(), emptyList(), ByteArray(0)), timeout, onResult)
    }
}
