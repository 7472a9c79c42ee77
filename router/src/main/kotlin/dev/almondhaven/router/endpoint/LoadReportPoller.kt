package dev.almondhaven.router.endpoint

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.LoadReport
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.controller.DutyThread
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Polls `GET /engine/status` of the endpoints that this router uses, on a duty thread of its own. */
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

    private val duty = DutyThread.start<Unit>("load-reports", RING_CAPACITY, interval, ::pollAll) { pollAll() }

    /** Polls at once instead of at the next interval. */
    public fun pollSoon() {
        duty.offer(Unit)
    }

    override fun close(): Unit = duty.close()

    private fun pollAll(): Unit = directory.used.forEach(::poll)

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
        if (status == null) return directory.recordReportless(endpoint.id)
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
        const val RING_CAPACITY = 16
        const val STATUS_PATH = "/engine/status"
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
