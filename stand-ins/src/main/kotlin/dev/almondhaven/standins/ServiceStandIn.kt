package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Stand-in for an order or booking service. It records every call that it runs and responds with the number of calls
 * run so far. It doesn't deduplicate by idempotency key, so the records show a call that ran twice.
 */
public class ServiceStandIn {
    private val startedAtMillis = System.currentTimeMillis()
    private val recorded = ConcurrentLinkedQueue<RecordedRequest>()

    /** Delay between running a call and sending its response. */
    @Volatile
    public var answerDelay: Duration = Duration.ZERO

    /** Calls run so far; a record's request id is the call's idempotency key. */
    public val records: List<RecordedRequest> get() = recorded.toList()

    /** Adds the service's paths to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/records", HttpService { _, _ -> recordsResponse() })
        builder.service("/engine/status", HttpService { _, _ -> status() })
        builder.service("prefix:/", HttpService { _, request -> runCall(request) })
    }

    private fun status(): HttpResponse {
        val body =
            buildJsonObject {
                put("startId", JsonPrimitive(startedAtMillis))
                put("uptimeMillis", JsonPrimitive(System.currentTimeMillis() - startedAtMillis))
                put("running", JsonPrimitive(0))
                put("slots", JsonPrimitive(SLOTS))
            }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun runCall(request: HttpRequest): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenApply { aggregated ->
                val key = aggregated.headers().get("idempotency-key").orEmpty()
                val organisation = aggregated.headers().get("x-organisation").orEmpty()
                val call = "${aggregated.method()} ${aggregated.path()}"
                recorded += RecordedRequest(key, organisation, call, System.currentTimeMillis(), finished = true)
                val body =
                    buildJsonObject {
                        put("call", JsonPrimitive(call))
                        put("key", JsonPrimitive(key))
                        put("number", JsonPrimitive(recorded.size))
                    }
                val response = HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
                if (answerDelay.isPositive()) HttpResponse.delayed(response, answerDelay.toJavaDuration()) else response
            },
        )

    private fun recordsResponse(): HttpResponse =
        HttpResponse.of(
            HttpStatus.OK,
            MediaType.JSON,
            Json.encodeToString(ListSerializer(RecordedRequest.serializer()), records),
        )

    private companion object {
        const val SLOTS = 16
    }
}
