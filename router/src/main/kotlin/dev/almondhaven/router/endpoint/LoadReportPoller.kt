package dev.almondhaven.router.endpoint

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.LoadReport
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.controller.ActorThread
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Polls `GET /engine/status` of the endpoints that this router uses, on its own actor thread. If the mailbox is full, a
 * request to poll an endpoint at once is dropped; the endpoint is then polled in its regular turn.
 */
public class LoadReportPoller(
    private val directory: EndpointDirectory,
    private val clients: EndpointClients,
    private val clock: NanoClock,
    interval: Duration,
) : AutoCloseable {
    @Serializable
    private data class EngineStatus(
        val startId: JsonPrimitive,
        val running: Int,
        val waiting: Int = 0,
        val slots: Int,
        val uptimeMillis: Long? = null,
    )

    private var lastPolledIndex = 0
    private val actor =
        ActorThread.start<() -> Unit>("load-reports", MAILBOX_CAPACITY, interval, ::pollNextEndpoints) {
            it()
        }

    /** Polls the endpoints at [address] at once, outside their regular turn. */
    public fun pollNow(address: String) {
        actor.offer { directory.polledEndpoints.filter { it.address == address }.forEach(::poll) }
    }

    override fun close(): Unit = actor.close()

    /** Polls the next [ENDPOINTS_PER_TICK] endpoints, so that the cost per tick does not grow with the deployment. */
    private fun pollNextEndpoints() {
        val endpoints = directory.polledEndpoints
        if (endpoints.size <= ENDPOINTS_PER_TICK) return endpoints.forEach(::poll)
        repeat(ENDPOINTS_PER_TICK) {
            lastPolledIndex = (lastPolledIndex + 1) % endpoints.size
            poll(endpoints[lastPolledIndex])
        }
    }

    private fun poll(endpoint: Endpoint) {
        val requestedAt = clock.nanos()
        clients
            .of(endpoint)
            .get(STATUS_PATH)
            .aggregate()
            .thenAccept { handleResponse(endpoint, it, requestedAt) }
    }

    private fun handleResponse(
        endpoint: Endpoint,
        response: AggregatedHttpResponse,
        requestedAt: Long,
    ) {
        val status = if (response.status() == HttpStatus.OK) parseOrNull(response.contentUtf8()) else null
        if (status == null) return directory.recordMissingLoadReport(endpoint.id)
        val uptime = status.uptimeMillis?.milliseconds
        val report = LoadReport(status.startId.content, status.running, status.waiting, status.slots, uptime)
        directory.report(endpoint.id, report, requestedAt)
    }

    private fun parseOrNull(text: String): EngineStatus? =
        try {
            LENIENT_JSON.decodeFromString(EngineStatus.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val MAILBOX_CAPACITY = 256
        const val ENDPOINTS_PER_TICK = 24
        const val STATUS_PATH = "/engine/status"
        val LENIENT_JSON = Json { ignoreUnknownKeys = true }
    }
}
