package dev.almondhaven.router.endpoint

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.decision.limit.Priority
import dev.almondhaven.router.filter.Call
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestPriority
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Builds the requests to engines and plain services from callers' requests. */
internal object EndpointRequests {
    private const val REQUEST_ID_HEADER = "x-request-id"
    private const val ORGANISATION_HEADER = "x-organisation"
    private const val IDEMPOTENCY_KEY_HEADER = "idempotency-key"

    /** Sequence number of the last frame that the caller has; an engine that can resume begins after it. */
    private const val RESUME_AFTER_HEADER = "x-resume-after"
    private val STREAM_OPTIONS = JsonObject(mapOf("include_usage" to JsonPrimitive(true)))

    /** Builds the request to the chosen endpoint of [exchange]. */
    fun of(exchange: Exchange): HttpRequest =
        when (val call = exchange.call) {
            is Call.Model -> modelRequest(exchange, call)
            is Call.Service -> serviceRequest(exchange, call)
            Call.ModelList -> error("a model list request is answered by the router and never dispatched")
        }

    private fun modelRequest(
        exchange: Exchange,
        call: Call.Model,
    ): HttpRequest {
        val version = checkNotNull(exchange.version) { "no model version is chosen for request ${exchange.requestId}" }
        val fields = LinkedHashMap(call.body)
        fields["model"] = JsonPrimitive(version.id.toString())
        RequestPriority.of(exchange).takeIf { it != Priority.NORMAL }?.let {
            fields["priority"] = JsonPrimitive(it.engineValue)
        }
        if (call.streamed) {
            fields["stream_options"] = STREAM_OPTIONS
            // A resumed answer continues the earlier attempt only if both engines sample with the same seed.
            fields.putIfAbsent("seed", JsonPrimitive(exchange.requestId.hashCode()))
        }
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, call.path)
                .contentType(MediaType.JSON)
                .set(REQUEST_ID_HEADER, exchange.requestId.value)
                .set(ORGANISATION_HEADER, exchange.organisation.id.value)
        if (exchange.resumeAfter > 0) headers.setLong(RESUME_AFTER_HEADER, exchange.resumeAfter)
        return HttpRequest.of(headers.build(), HttpData.ofUtf8(JsonObject(fields).toString()))
    }

    private fun serviceRequest(
        exchange: Exchange,
        call: Call.Service,
    ): HttpRequest {
        val headers =
            RequestHeaders
                .builder(exchange.method, call.path)
                .set(REQUEST_ID_HEADER, exchange.requestId.value)
                .set(ORGANISATION_HEADER, exchange.organisation.id.value)
        exchange.headers.contentType()?.let { headers.contentType(it) }
        exchange.headers.get(IDEMPOTENCY_KEY_HEADER)?.let { headers.set(IDEMPOTENCY_KEY_HEADER, it) }
        return HttpRequest.of(headers.build(), exchange.body)
    }
}
