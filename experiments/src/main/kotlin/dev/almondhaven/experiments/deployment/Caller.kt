package dev.almondhaven.experiments.deployment

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.router.ErrorBody
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletionException
import kotlin.random.Random

/**
 * One simulated client of an organisation. It sends a request, waits for the response and checks that the response is
 * complete and belongs to the request.
 */
public class Caller(
    private val organisation: Organisation,
    private val service: ServicePaths,
    private val balancer: Balancer,
    private val random: Random,
    private val record: (CallRecord) -> Unit,
) {
    private var session: String? = null
    private var sessionName = ""
    private var turnsLeft = 0

    /** Makes one call of a random kind: a model request, a look-up or an order. */
    public fun callOnce() {
        when (random.nextInt(CALL_MIX_PERCENT)) {
            in 0 until STREAMED_END_PERCENT -> modelCall(CallKind.STREAMED)
            in STREAMED_END_PERCENT until WHOLE_END_PERCENT -> modelCall(CallKind.WHOLE)
            in WHOLE_END_PERCENT until LOOKUP_END_PERCENT -> lookup()
            else -> order()
        }
    }

    private fun modelCall(kind: CallKind) {
        val address = balancer.pick(random) ?: return
        if (turnsLeft == 0) beginSession()
        val marker = marker()
        val tokens = random.nextInt(2, TOKENS_END_EXCLUSIVE)
        val body = ModelRequestText.of(marker, tokens, streamed = kind == CallKind.STREAMED)
        val headers = headers(HttpMethod.POST, "/v1/chat/completions")
        session?.let { headers.set("x-session-token", it) }
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        val call = send(kind, address, request) { ResponseCheck.findProblem(kind, it, marker, tokens) }
        turnsLeft--
        record(call.copy(session = sessionName))
    }

    private fun beginSession() {
        session = null
        sessionName = marker()
        turnsLeft = random.nextInt(1, SESSION_TURNS_END_EXCLUSIVE)
    }

    private fun lookup() {
        val address = balancer.pick(random) ?: return
        val request = HttpRequest.of(headers(HttpMethod.GET, service.lookup).build())
        record(send(CallKind.LOOKUP, address, request) { null })
    }

    private fun order() {
        val key = marker()
        val sendTwice = random.nextInt(DUPLICATE_ONE_IN) == 0
        val first = balancer.pick(random) ?: return
        var attempt = 1
        var last = placeOrder(first, key, attempt)
        while (attempt < ORDER_ATTEMPTS && (last.end == CallEnd.CONNECTION_LOST || (sendTwice && attempt == 1))) {
            attempt++
            last = placeOrder(balancer.pick(random) ?: return, key, attempt)
        }
    }

    private fun placeOrder(
        address: String,
        key: String,
        attempt: Int,
    ): CallRecord {
        val headers =
            headers(HttpMethod.POST, service.order)
                .set("idempotency-key", key)
                .set("idempotency-attempt", "$attempt")
                .set("x-timeout-ms", "$ORDER_TIMEOUT_MILLIS")
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8("""{"order":"$key"}"""))
        val call = send(CallKind.ORDER, address, request) { if (key in it.contentUtf8()) null else "another order" }
        return call.copy(key = key).also(record)
    }

    private fun headers(
        method: HttpMethod,
        path: String,
    ) = RequestHeaders
        .builder(method, path)
        .contentType(MediaType.JSON)
        .set("authorization", "Bearer ${SampleDeployment.tokenOf(organisation.id.value)}")

    private fun send(
        kind: CallKind,
        address: String,
        request: HttpRequest,
        problem: (AggregatedHttpResponse) -> String?,
    ): CallRecord {
        val startedAt = System.currentTimeMillis()
        val started = System.nanoTime()
        val initialRecord = CallRecord(kind, organisation.id.value, address, startedAt, 0, CallEnd.CONNECTION_LOST)
        return try {
            val response =
                balancer
                    .client(address)
                    .execute(request)
                    .aggregate()
                    .join()
            classify(initialRecord, response, problem)
        } catch (exception: CompletionException) {
            initialRecord.copy(detail = "${exception.cause}")
        }.copy(millis = (System.nanoTime() - started) / NANOS_PER_MILLI)
    }

    private fun classify(
        initialRecord: CallRecord,
        response: AggregatedHttpResponse,
        problem: (AggregatedHttpResponse) -> String?,
    ): CallRecord {
        val identifiedRecord =
            initialRecord.copy(
                requestId = response.headers().get("x-request-id").orEmpty(),
                model = response.headers().get("x-almondhaven-model").orEmpty(),
            )
        val error = errorOf(response)
        if (error != null) {
            return identifiedRecord.copy(
                end = CallEnd.REFUSED,
                code = error.error.code,
                outcome = error.error.outcome,
                detail = error.error.message,
            )
        }
        response.headers().get("x-session-token")?.let { session = it }
        val defect = problem(response)
        return identifiedRecord.copy(
            end = if (defect == null) CallEnd.ANSWERED else CallEnd.DAMAGED,
            detail = defect.orEmpty(),
        )
    }

    private fun errorOf(response: AggregatedHttpResponse): ErrorBody? {
        val text = response.contentUtf8()
        val json = if (response.status().isSuccess) ResponseCheck.errorEvent(text) else text
        if (json == null) return null
        return try {
            Json.decodeFromString(ErrorBody.serializer(), json)
        } catch (_: SerializationException) {
            null
        }
    }

    private fun marker(): String = random.nextLong().toULong().toString(MARKER_RADIX)

    private companion object {
        const val CALL_MIX_PERCENT = 100
        const val STREAMED_END_PERCENT = 45
        const val WHOLE_END_PERCENT = 75
        const val LOOKUP_END_PERCENT = 88
        const val TOKENS_END_EXCLUSIVE = 24
        const val SESSION_TURNS_END_EXCLUSIVE = 6
        const val DUPLICATE_ONE_IN = 8
        const val ORDER_ATTEMPTS = 4
        const val ORDER_TIMEOUT_MILLIS = 5_000
        const val MARKER_RADIX = 36
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Paths of a deployment's plain service: an idempotent look-up and a non-idempotent order. */
public data class ServicePaths(
    public val lookup: String,
    public val order: String,
)
