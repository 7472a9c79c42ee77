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
 * A small stand-in for a model engine: the OpenAI-compatible paths, plain and streamed, `GET /engine/status` and
 * `GET /records`. Every streamed event carries its sequence number in the `id` field.
 */
public class EngineStandIn(
    @Volatile public var behaviour: EngineBehaviour = EngineBehaviour(),
    private val slots: Int = DEFAULT_SLOTS,
) {
    /** Versions whose requests this engine answers with errors. */
    @Volatile
    public var failingVersions: Set<ModelVersionId> = emptySet()

    private val startId = AtomicLong(System.nanoTime())

    @Volatile
    private var startedAt = System.nanoTime()
    private val running = AtomicInteger()
    private val cancelled = AtomicInteger()
    private val recorded = ConcurrentLinkedQueue<RecordedRequest>()

    /** Requests seen so far. */
    public val records: List<RecordedRequest> get() = recorded.toList()

    /** Streamed answers that the caller cancelled. */
    public val cancellations: Int get() = cancelled.get()

    /** Requests that run now. */
    public val runningRequests: Int get() = running.get()

    /** Behaves as after a restart: a new start id and an empty cache. */
    public fun restart() {
        startedAt = System.nanoTime()
        startId.incrementAndGet()
    }

    /** Adds the engine's paths to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/v1/chat/completions", HttpService { context, request -> complete(context, request) })
        builder.service("/v1/completions", HttpService { context, request -> complete(context, request) })
        builder.service("/engine/status", HttpService { _, _ -> status() })
        builder.service("/records", HttpService { _, _ -> recordsAnswer() })
        builder.requestTimeoutMillis(0)
    }

    private fun status(): HttpResponse {
        val body =
            buildJsonObject {
                put("startId", JsonPrimitive(startId.get()))
                put("uptimeMillis", JsonPrimitive((System.nanoTime() - startedAt) / NANOS_PER_MILLI))
                put("running", JsonPrimitive(running.get()))
                put("slots", JsonPrimitive(slots))
            }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun recordsAnswer(): HttpResponse =
        HttpResponse.of(
            HttpStatus.OK,
            MediaType.JSON,
            Json.encodeToString(ListSerializer(RecordedRequest.serializer()), records),
        )

    private fun complete(
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
                answer(context, body, record, resumeAfter)
            },
        )

    private fun answer(
        context: ServiceRequestContext,
        body: JsonObject,
        record: RecordedRequest,
        resumeAfter: Int,
    ): HttpResponse {
        val now = if (isBad(record.model)) behaviour.copy(fault = EngineFault.ERROR) else behaviour
        val echo = Echo(record.model, body["user"]?.jsonPrimitive?.contentOrNull)
        val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: now.tokens
        val streamed = body["stream"]?.jsonPrimitive?.booleanOrNull == true
        return when (now.fault) {
            EngineFault.ERROR -> {
                HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR)
            }

            EngineFault.SILENT -> {
                HttpResponse.streaming()
            }

            else -> {
                if (streamed) {
                    stream(context, now, record, echo, tokens, resumeAfter)
                } else {
                    whole(context, now, record, echo, tokens)
                }
            }
        }
    }

    private fun whole(
        context: ServiceRequestContext,
        now: EngineBehaviour,
        record: RecordedRequest,
        echo: Echo,
        tokens: Int,
    ): HttpResponse {
        recorded += record
        val text = wholeBody(echo, tokens)
        val sent = if (now.fault == EngineFault.HALF_ANSWER) text.take(text.length / 2) else text
        val response = HttpResponse.of(HttpStatus.OK, MediaType.JSON, sent)
        val delay = now.timeToFirstToken + now.interTokenDelay * tokens
        if (delay.inWholeMilliseconds == 0L) return response
        running.incrementAndGet()
        response.whenComplete().handle { _, _ -> running.decrementAndGet() }
        return HttpResponse.delayed(response, Duration.ofMillis(delay.inWholeMilliseconds), context.eventLoop())
    }

    private fun stream(
        context: ServiceRequestContext,
        now: EngineBehaviour,
        record: RecordedRequest,
        echo: Echo,
        tokens: Int,
        resumeAfter: Int,
    ): HttpResponse {
        recorded += record
        running.incrementAndGet()
        val response = HttpResponse.streaming()
        response.whenComplete().handle { _, cause ->
            running.decrementAndGet()
            if (cause != null) cancelled.incrementAndGet()
        }
        val headers = ResponseHeaders.builder(HttpStatus.OK).set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        if (resumeAfter > 0) headers.setInt("x-resumed-after", resumeAfter)
        response.write(headers.build())
        val lastToken = if (now.fault in HALFWAY_FAULTS) tokens / 2 else tokens
        val generation = Generating(context, response, now, echo, tokens, lastToken, resumeAfter)
        context.eventLoop().schedule(
            { generation.next() },
            now.timeToFirstToken.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        return response
    }

    private inner class Generating(
        private val context: ServiceRequestContext,
        private val response: HttpResponseWriter,
        private val now: EngineBehaviour,
        private val echo: Echo,
        private val tokens: Int,
        private val lastToken: Int,
        private var sent: Int,
    ) {
        fun next() {
            while (sent < lastToken) {
                sent++
                val data = if (now.fault == EngineFault.GARBAGE) "{garbage" else chunk(echo, "token$sent ", null)
                if (!response.tryWrite(HttpData.ofUtf8("id: $sent\ndata: $data\n\n"))) return
                if (now.interTokenDelay.inWholeMilliseconds > 0) {
                    context.eventLoop().schedule(
                        { next() },
                        now.interTokenDelay.inWholeMilliseconds,
                        TimeUnit.MILLISECONDS,
                    )
                    return
                }
            }
            finish()
        }

        private fun finish() {
            if (now.fault == EngineFault.SILENT_MIDWAY) return
            if (lastToken == tokens) {
                response.tryWrite(HttpData.ofUtf8("id: ${sent + 1}\ndata: ${chunk(echo, "", usage(tokens))}\n\n"))
                response.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
            }
            response.close()
        }
    }

    private fun chunk(
        echo: Echo,
        text: String,
        usage: JsonObject?,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion.chunk"))
            putAll(echo)
            put("choices", choices(if (usage == null) "delta" else "message", text))
            usage?.let { put("usage", it) }
        }.toString()

    private fun wholeBody(
        echo: Echo,
        tokens: Int,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion"))
            putAll(echo)
            put("choices", choices("message", (1..tokens).joinToString("") { "token$it " }))
            put("usage", usage(tokens))
        }.toString()

    private fun JsonObjectBuilder.putAll(echo: Echo) {
        put("model", JsonPrimitive(echo.model))
        echo.user?.let { put("user", JsonPrimitive(it)) }
    }

    private fun isBad(model: String): Boolean = failingVersions.any { it.toString() == model }

    /** What an answer repeats of its request, so that callers can tell their own answer from another's. */
    private class Echo(
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
        val HALFWAY_FAULTS = setOf(EngineFault.HALF_ANSWER, EngineFault.SILENT_MIDWAY)
    }
}
