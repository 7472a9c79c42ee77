package dev.almondhaven.router.order

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.engine.EngineOrder
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.store.ResponseHeadGuard
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** HTTP client that reads the reports of engines and sends them orders. */
internal class EngineClient(
    private val timeout: Duration,
) : AutoCloseable {
    private val factory =
        ResponseHeadGuard
            .install(ClientFactory.builder())
            .connectTimeoutMillis(timeout.inWholeMilliseconds)
            .build()

    /** Requests the report of [endpoint]; null if there is no valid response. */
    fun fetchReport(endpoint: Endpoint): CompletableFuture<EngineReport?> =
        clientFor(endpoint).get(DESIRED_STATE_PATH).aggregate().handle { response, _ ->
            response?.let { parseReportOrNull(it) }
        }

    /** Sends [order] to [endpoint]; returns the HTTP status of the response, or null if there is none. */
    fun sendOrder(
        endpoint: Endpoint,
        order: EngineOrder,
    ): CompletableFuture<HttpStatus?> {
        val headers = RequestHeaders.builder(HttpMethod.PUT, DESIRED_STATE_PATH).contentType(MediaType.JSON).build()
        val body = PeerProtocol.json.encodeToString(EngineOrder.serializer(), order)
        return clientFor(endpoint).execute(headers, body).aggregate().handle { response, _ -> response?.status() }
    }

    private fun parseReportOrNull(response: AggregatedHttpResponse): EngineReport? {
        if (response.status() != HttpStatus.OK) return null
        val text = response.contentUtf8()
        return runCatching { PeerProtocol.json.decodeFromString(EngineReport.serializer(), text) }.getOrNull()
    }

    private fun clientFor(endpoint: Endpoint): WebClient =
        WebClient
            .builder("h1c://${endpoint.address}")
            .factory(factory)
            .responseTimeoutMillis(timeout.inWholeMilliseconds)
            .build()

    override fun close() {
        factory.closeAsync()
    }

    private companion object {
        const val DESIRED_STATE_PATH = "/engine/desired-state"
    }
}
