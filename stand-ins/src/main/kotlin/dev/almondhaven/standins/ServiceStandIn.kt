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
 * A small stand-in for an order or booking service: answers any call with its own count of it and records every run.
 */
public class ServiceStandIn {
    private val startedAt = System.currentTimeMillis()
    private val recorded = ConcurrentLinkedQueue<RecordedRequest>()

    /** How long an answer takes after the call has run. */
    @Volatile
    public var answerDelay: Duration = Duration.ZERO

    /** Calls that ran so far. */
    public val records: List<RecordedRequest> get() = recorded.toList()

    /** Adds the service's paths to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/records", HttpService { _, _ -> recordsAnswer() })
        builder.service("/engine/status", HttpService { _, _ -> status() })
        builder.service("prefix:/", HttpService { _, request -> run(request) })
    }

    private fun status(): HttpResponse {
        val body =
            buildJsonObject {
                put("startId", JsonPrimitive(startedAt))
                put("uptimeMillis", JsonPrimitive(System.currentTimeMillis() - startedAt))
                put("running", JsonPrimitive(0))
                put("slots", JsonPrimitive(SLOTS))
            }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun run(request: HttpRequest): HttpResponse =
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
                val answer = HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
                if (answerDelay.isPositive()) HttpResponse.delayed(answer, answerDelay.toJavaDuration()) else answer
            },
        )

    private fun recordsAnswer(): HttpResponse =
        HttpResponse.of(
            HttpStatus.OK,
            MediaType.JSON,
            Json.encodeToString(ListSerializer(RecordedRequest.serializer()), records),
        )

    private companion object {
        const val SLOTS = 16
    }
}
