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
 * The versions that an engine stand-in has loaded, and the orders that change them, at `/engine/desired-state`.
 *
 * @property honoursFencing whether an order with a lower fencing number than an earlier one is refused.
 * @property loadTime how long a version takes to load.
 */
public class EngineLoadStandIn(
    private val honoursFencing: Boolean = true,
    private val loadTime: Duration = Duration.ZERO,
) {
    private val taken = mutableListOf<EngineOrder>()
    private val loadedAt = LinkedHashMap<ModelVersionId, Long>()
    private var highestFencing = 0L

    /** Orders that were taken, in order of arrival. */
    public val orders: List<EngineOrder> @Synchronized get() = taken.toList()

    /** Adds the path to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/engine/desired-state", HttpService { _, request -> serve(request) })
    }

    private fun serve(request: HttpRequest): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenApply { aggregated ->
                if (aggregated.method() == HttpMethod.PUT) order(aggregated.contentUtf8()) else reportAnswer()
            },
        )

    private fun reportAnswer(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(EngineReport.serializer(), report()))

    /** What the engine has been told to load and has loaded. */
    @Synchronized
    public fun report(): EngineReport {
        val now = System.nanoTime()
        return EngineReport(loadedAt.keys.toList(), loadedAt.filterValues { it <= now }.keys.toList())
    }

    @Synchronized
    private fun order(body: String): HttpResponse {
        val order = Json.decodeFromString(EngineOrder.serializer(), body)
        if (honoursFencing && order.fencing < highestFencing) return HttpResponse.of(HttpStatus.CONFLICT)
        highestFencing = maxOf(highestFencing, order.fencing)
        taken += order
        loadedAt.keys.retainAll(order.versions.toSet())
        val readyAt = System.nanoTime() + loadTime.inWholeNanoseconds
        order.versions.forEach { loadedAt.putIfAbsent(it, readyAt) }
        return reportAnswer()
    }
}
