package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import dev.almondhaven.model.ModelVersionId
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in for a model engine. It serves the OpenAI-compatible completion paths, streaming and non-streaming,
 * `GET /engine/status` and `GET /records`. Every streamed event except `[DONE]` carries its sequence number as `id`.
 */
public class EngineStandIn(
    @Volatile public var behaviour: EngineBehaviour = EngineBehaviour(),
    private val slots: Int = DEFAULT_SLOTS,
) {
    /** Versions for which every request fails with status 500. */
    @Volatile
    public var failingVersions: Set<ModelVersionId> = emptySet()

    private val startId = AtomicLong(System.nanoTime())

    @Volatile
    private var startedAtNanos = System.nanoTime()
    private val runningCount = AtomicInteger()
    private val cancelledStreams = AtomicInteger()
    private val recordedRequests = ConcurrentLinkedQueue<RecordedRequest>()

    /** Completion requests so far, except those that met [EngineFault.ERROR] or [EngineFault.SILENT]. */
    public val records: List<RecordedRequest> get() = recordedRequests.toList()

    /** Number of streamed responses that the caller cancelled. */
    public val cancellations: Int get() = cancelledStreams.get()

    /** Number of requests in progress; non-streaming requests count only if they take any time. */
    public val runningRequests: Int get() = runningCount.get()

    /**
     * Simulates a restart: the engine reports a new start id, which means that its cache is empty, and its uptime starts
     * from zero.
     */
    public fun restart() {
        startedAtNanos = System.nanoTime()
        startId.incrementAndGet()
    }

    /** Adds the engine's paths to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/v1/chat/completions", HttpService { context, request -> handleCompletion(context, request) })
        builder.service("/v1/completions", HttpService { context, request -> handleCompletion(context, request) })
        builder.service("/engine/status", HttpService { _, _ -> status() })
        builder.service("/records", HttpService { _, _ -> recordsResponse() })
        builder.requestTimeoutMillis(0)
    }

    private fun status(): HttpResponse {
        val body =
            buildJsonObject {
                put("startId", JsonPrimitive(startId.get()))
                put("uptimeMillis", JsonPrimitive((System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI))
                put("running", JsonPrimitive(runningCount.get()))
                put("slots", JsonPrimitive(slots))
            }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun recordsResponse(): HttpResponse =
        HttpResponse.of(
            HttpStatus.OK,
            MediaType.JSON,
            Json.encodeToString(ListSerializer(RecordedRequest.serializer()), records),
        )

    private fun handleCompletion(
        context: ServiceRequestContext,
        request: HttpRequest,
    ): HttpResponse =
        HttpResponse.of(
            request.aggregate().thenApply { aggregated ->
                val body = Json.parseToJsonElement(aggregated.contentUtf8()) as JsonObject
                val headers = aggregated.headers()
                val record =
                    RecordedRequest(
                        headers.get("x-request-id").orEmpty(),
                        headers.get("x-organisation").orEmpty(),
                        body["model"]?.jsonPrimitive?.contentOrNull.orEmpty(),
                        System.currentTimeMillis(),
                        finished = true,
                    )
                val resumeAfter = if (behaviour.supportsResume) headers.getInt("x-resume-after", 0) else 0
                respond(context, body, record, resumeAfter)
            },
        )

    private fun respond(
        context: ServiceRequestContext,
        body: JsonObject,
        record: RecordedRequest,
        resumeAfter: Int,
    ): HttpResponse {
        val activeBehaviour = if (isFailing(record.model)) behaviour.copy(fault = EngineFault.ERROR) else behaviour
        val echoed = EchoedFields(record.model, body["user"]?.jsonPrimitive?.contentOrNull)
        val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: activeBehaviour.tokens
        val streamed = body["stream"]?.jsonPrimitive?.booleanOrNull == true
        return when (activeBehaviour.fault) {
            EngineFault.ERROR -> {
                HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR)
            }

            EngineFault.SILENT -> {
                HttpResponse.streaming()
            }

            else -> {
                if (streamed) {
                    stream(context, activeBehaviour, record, echoed, tokens, resumeAfter)
                } else {
                    respondUnary(context, activeBehaviour, record, echoed, tokens)
                }
            }
        }
    }

    private fun respondUnary(
        context: ServiceRequestContext,
        activeBehaviour: EngineBehaviour,
        record: RecordedRequest,
        echoed: EchoedFields,
        tokens: Int,
    ): HttpResponse {
        recordedRequests += record
        val body = completionBody(echoed, tokens)
        val sent = if (activeBehaviour.fault == EngineFault.HALF_ANSWER) body.take(body.length / 2) else body
        val response = HttpResponse.of(HttpStatus.OK, MediaType.JSON, sent)
        val delay = activeBehaviour.timeToFirstToken + activeBehaviour.interTokenDelay * tokens
        if (delay.inWholeMilliseconds == 0L) return response
        runningCount.incrementAndGet()
        response.whenComplete().handle { _, _ -> runningCount.decrementAndGet() }
        return HttpResponse.delayed(response, Duration.ofMillis(delay.inWholeMilliseconds), context.eventLoop())
    }

    private fun stream(
        context: ServiceRequestContext,
        activeBehaviour: EngineBehaviour,
        record: RecordedRequest,
        echoed: EchoedFields,
        tokens: Int,
        resumeAfter: Int,
    ): HttpResponse {
        recordedRequests += record
        runningCount.incrementAndGet()
        val response = HttpResponse.streaming()
        response.whenComplete().handle { _, cause ->
            runningCount.decrementAndGet()
            if (cause != null) cancelledStreams.incrementAndGet()
        }
        val headers = ResponseHeaders.builder(HttpStatus.OK).set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        if (resumeAfter > 0) headers.setInt("x-resumed-after", resumeAfter)
        response.write(headers.build())
        val lastToken = if (activeBehaviour.fault in HALF_STREAM_FAULTS) tokens / 2 else tokens
        val tokenStream = TokenStream(context, response, activeBehaviour, echoed, tokens, lastToken, resumeAfter)
        context.eventLoop().schedule(
            { tokenStream.sendTokens() },
            activeBehaviour.timeToFirstToken.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        return response
    }

    private inner class TokenStream(
        private val context: ServiceRequestContext,
        private val response: HttpResponseWriter,
        private val activeBehaviour: EngineBehaviour,
        private val echoed: EchoedFields,
        private val tokens: Int,
        private val lastToken: Int,
        private var sent: Int,
    ) {
        fun sendTokens() {
            while (sent < lastToken) {
                sent++
                val isGarbage = activeBehaviour.fault == EngineFault.GARBAGE
                val data = if (isGarbage) "{garbage" else chunk(echoed, "token$sent ", null)
                if (!response.tryWrite(HttpData.ofUtf8("id: $sent\ndata: $data\n\n"))) return
                if (activeBehaviour.interTokenDelay.inWholeMilliseconds > 0) {
                    context.eventLoop().schedule(
                        { sendTokens() },
                        activeBehaviour.interTokenDelay.inWholeMilliseconds,
                        TimeUnit.MILLISECONDS,
                    )
                    return
                }
            }
            finish()
        }

        private fun finish() {
            if (activeBehaviour.fault == EngineFault.SILENT_MIDWAY) return
            if (lastToken == tokens) {
                response.tryWrite(HttpData.ofUtf8("id: ${sent + 1}\ndata: ${chunk(echoed, "", usage(tokens))}\n\n"))
                response.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
            }
            response.close()
        }
    }

    private fun chunk(
        echoed: EchoedFields,
        text: String,
        usage: JsonObject?,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion.chunk"))
            putAll(echoed)
            put("choices", choices(if (usage == null) "delta" else "message", text))
            usage?.let { put("usage", it) }
        }.toString()

    private fun completionBody(
        echoed: EchoedFields,
        tokens: Int,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion"))
            putAll(echoed)
            put("choices", choices("message", (1..tokens).joinToString("") { "token$it " }))
            put("usage", usage(tokens))
        }.toString()

    private fun JsonObjectBuilder.putAll(echoed: EchoedFields) {
        put("model", JsonPrimitive(echoed.model))
        echoed.user?.let { put("user", JsonPrimitive(it)) }
    }

    private fun isFailing(model: String): Boolean = failingVersions.any { it.toString() == model }

    /** Request fields that a response repeats, so that a caller detects a response meant for another caller. */
    private class EchoedFields(
        val model: String,
        val user: String?,
    )

    private fun choices(
        field: String,
        text: String,
    ): JsonArray =
        buildJsonArray {
            add(
                buildJsonObject {
                    put("index", JsonPrimitive(0))
                    put(field, buildJsonObject { put("content", JsonPrimitive(text)) })
                },
            )
        }

    private fun usage(tokens: Int): JsonObject =
        buildJsonObject {
            put("prompt_tokens", JsonPrimitive(PROMPT_TOKENS))
            put("completion_tokens", JsonPrimitive(tokens))
        }

    private companion object {
        const val DEFAULT_SLOTS = 16
        const val PROMPT_TOKENS = 16
        const val NANOS_PER_MILLI = 1_000_000L
        val HALF_STREAM_FAULTS = setOf(EngineFault.HALF_ANSWER, EngineFault.SILENT_MIDWAY)
    }
}
