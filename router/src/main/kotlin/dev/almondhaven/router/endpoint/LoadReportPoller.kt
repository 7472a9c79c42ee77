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
 * Polls `GET /engine/status` of the endpoints that this router uses, on a duty thread of its own. A full
 * ring loses a wish to poll early; the endpoint is then polled in its turn.
 */
public class LoadReportPoller(
    private val directory: EndpointDirectory,
    private val clients: EndpointClients,
    private val clock: NanoClock,
    interval: Duration,
) : AutoCloseable {
    @Serializable
    private data class Status(
        val startId: JsonPrimitive,
        val running: Int,
        val waiting: Int = 0,
        val slots: Int,
        val uptimeMillis: Long? = null,
    )

    private var position = 0
    private val duty = ActorThread.start<() -> Unit>("load-reports", RING_CAPACITY, interval, ::pollNext) { it() }

    /** Polls the endpoints at [address] at once instead of in their turn. */
    public fun pollNow(address: String) {
        duty.offer { directory.polledEndpoints.filter { it.address == address }.forEach(::poll) }
    }

    override fun close(): Unit = duty.close()

    /** Polls the next [POLLED_AT_ONCE] endpoints, so that a large deployment costs no more than a small one. */
    private fun pollNext() {
        val used = directory.polledEndpoints
        if (used.size <= POLLED_AT_ONCE) return used.forEach(::poll)
        repeat(POLLED_AT_ONCE) {
            position = (position + 1) % used.size
            poll(used[position])
        }
    }

    private fun poll(endpoint: Endpoint) {
        val askedAt = clock.nanos()
        clients
            .of(endpoint)
            .get(STATUS_PATH)
            .aggregate()
            .thenAccept { read(endpoint, it, askedAt) }
    }

    private fun read(
        endpoint: Endpoint,
        response: AggregatedHttpResponse,
        askedAt: Long,
    ) {
        val status = if (response.status() == HttpStatus.OK) parse(response.contentUtf8()) else null
        if (status == null) return directory.recordMissingLoadReport(endpoint.id)
        val uptime = status.uptimeMillis?.milliseconds
        val report = LoadReport(status.startId.content, status.running, status.waiting, status.slots, uptime)
        directory.report(endpoint.id, report, askedAt)
    }

    private fun parse(text: String): Status? =
        try {
            LENIENT.decodeFromString(Status.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val RING_CAPACITY = 256
        const val POLLED_AT_ONCE = 24
        const val STATUS_PATH = "/engine/status"
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
