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

/** Makes the requests that go to engines and plain services out of callers' requests. */
internal object EndpointRequests {
    private const val REQUEST_ID = "x-request-id"
    private const val ORGANISATION = "x-organisation"
    private const val IDEMPOTENCY_KEY = "idempotency-key"

    /** Sequence number of the last frame the caller has; an engine that can resume begins behind it. */
    private const val RESUME_AFTER = "x-resume-after"
    private val INCLUDE_USAGE = JsonObject(mapOf("include_usage" to JsonPrimitive(true)))

    /** The request for the endpoint that [exchange] has chosen. */
    fun of(exchange: Exchange): HttpRequest =
        when (val call = exchange.call) {
            is Call.Model -> modelRequest(exchange, call)
            is Call.Service -> serviceRequest(exchange, call)
            Call.ModelList -> error("a model list is not dispatched")
        }

    private fun modelRequest(
        exchange: Exchange,
        call: Call.Model,
    ): HttpRequest {
        val version = checkNotNull(exchange.version) { "no version chosen: ${exchange.requestId}" }
        val fields = LinkedHashMap(call.body)
        fields["model"] = JsonPrimitive(version.id.toString())
        RequestPriority.of(exchange).takeIf { it != Priority.NORMAL }?.let {
            fields["priority"] = JsonPrimitive(it.engineValue)
        }
        if (call.streamed) {
            fields["stream_options"] = INCLUDE_USAGE
            // A replayed answer is the same one only if the engine draws the same random numbers.
            fields.putIfAbsent("seed", JsonPrimitive(exchange.requestId.hashCode()))
        }
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, call.path)
                .contentType(MediaType.JSON)
                .set(REQUEST_ID, exchange.requestId.value)
                .set(ORGANISATION, exchange.organisation.id.value)
        if (exchange.resumeAfter > 0) headers.setLong(RESUME_AFTER, exchange.resumeAfter)
        return HttpRequest.of(headers.build(), HttpData.ofUtf8(JsonObject(fields).toString()))
    }

    private fun serviceRequest(
        exchange: Exchange,
        call: Call.Service,
    ): HttpRequest {
        val headers =
            RequestHeaders
                .builder(exchange.method, call.path)
                .set(REQUEST_ID, exchange.requestId.value)
                .set(ORGANISATION, exchange.organisation.id.value)
        exchange.headers.contentType()?.let { headers.contentType(it) }
        exchange.headers.get(IDEMPOTENCY_KEY)?.let { headers.set(IDEMPOTENCY_KEY, it) }
        return HttpRequest.of(headers.build(), exchange.body)
    }
}
