package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import dev.almondhaven.engine.EngineOrder
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.ModelVersionId
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * Stand-in for an engine's model loading: `PUT /engine/desired-state` replaces the set of versions to hold, and a
 * request with any other method returns the engine's report.
 *
 * @property honoursFencing whether an order with a lower fencing token than an earlier one is refused.
 * @property loadTime how long a version takes to load.
 */
public class EngineLoadStandIn(
    private val honoursFencing: Boolean = true,
    private val loadTime: Duration = Duration.ZERO,
) {
    private val acceptedOrders = mutableListOf<EngineOrder>()
    private val readyAtNanos = LinkedHashMap<ModelVersionId, Long>()
    private var highestFencingToken = 0L

    /** Orders that were accepted, in order of arrival. */
    public val orders: List<EngineOrder> @Synchronized get() = acceptedOrders.toList()

    /** Adds the engine's loading path to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/engine/desired-state", HttpService { _, request -> handle(request) })
    }

    private fun handle(request: HttpRequest): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenApply { aggregated ->
                if (aggregated.method() == HttpMethod.PUT) applyOrder(aggregated.contentUtf8()) else reportResponse()
            },
        )

    private fun reportResponse(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(EngineReport.serializer(), report()))

    /** Versions that the engine was ordered to hold, and those of them that have finished loading. */
    @Synchronized
    public fun report(): EngineReport {
        val nowNanos = System.nanoTime()
        return EngineReport(readyAtNanos.keys.toList(), readyAtNanos.filterValues { it <= nowNanos }.keys.toList())
    }

    @Synchronized
    private fun applyOrder(body: String): HttpResponse {
        val order = Json.decodeFromString(EngineOrder.serializer(), body)
        if (honoursFencing && order.fencing < highestFencingToken) return HttpResponse.of(HttpStatus.CONFLICT)
        highestFencingToken = maxOf(highestFencingToken, order.fencing)
        acceptedOrders += order
        readyAtNanos.keys.retainAll(order.versions.toSet())
        val newReadyAtNanos = System.nanoTime() + loadTime.inWholeNanoseconds
        order.versions.forEach { readyAtNanos.putIfAbsent(it, newReadyAtNanos) }
        return reportResponse()
    }
}
