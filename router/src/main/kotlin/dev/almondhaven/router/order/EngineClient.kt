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
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Reads what engines report and gives them orders. */
internal class EngineClient(
    private val timeout: Duration,
) : AutoCloseable {
    private val factory = ClientFactory.builder().connectTimeoutMillis(timeout.inWholeMilliseconds).build()

    /** What [endpoint] reports, or null when it doesn't. */
    fun report(endpoint: Endpoint): CompletableFuture<EngineReport?> =
        client(endpoint).get(PATH).aggregate().handle { response, _ -> response?.let { read(it) } }

    /** Gives [order] to [endpoint]; the result is the answer's status, or null when there was none. */
    fun order(
        endpoint: Endpoint,
        order: EngineOrder,
    ): CompletableFuture<HttpStatus?> {
        val headers = RequestHeaders.builder(HttpMethod.PUT, PATH).contentType(MediaType.JSON).build()
        val body = PeerProtocol.json.encodeToString(EngineOrder.serializer(), order)
        return client(endpoint).execute(headers, body).aggregate().handle { response, _ -> response?.status() }
    }

    private fun read(response: AggregatedHttpResponse): EngineReport? {
        if (response.status() != HttpStatus.OK) return null
        val text = response.contentUtf8()
        return runCatching { PeerProtocol.json.decodeFromString(EngineReport.serializer(), text) }.getOrNull()
    }

    private fun client(endpoint: Endpoint): WebClient =
        WebClient
            .builder("h1c://${endpoint.address}")
            .factory(factory)
            .responseTimeoutMillis(timeout.inWholeMilliseconds)
            .build()

    override fun close() {
        factory.closeAsync()
    }

    private companion object {
        const val PATH = "/engine/desired-state"
    }
}
