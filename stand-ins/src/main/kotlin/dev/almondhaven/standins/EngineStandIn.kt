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
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
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
    private val startId = AtomicLong(System.nanoTime())
    private val running = AtomicInteger()
    private val recorded = ConcurrentLinkedQueue<EngineRecord>()

    /** Requests seen so far. */
    public val records: List<EngineRecord> get() = recorded.toList()

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
                put("running", JsonPrimitive(running.get()))
                put("slots", JsonPrimitive(slots))
            }
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.toString())
    }

    private fun recordsAnswer(): HttpResponse =
        HttpResponse.of(
            HttpStatus.OK,
            MediaType.JSON,
            Json.encodeToString(ListSerializer(EngineRecord.serializer()), records),
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
                    EngineRecord(
                        headers.get("x-request-id").orEmpty(),
                        headers.get("x-organisation").orEmpty(),
                        body["model"]?.jsonPrimitive?.contentOrNull.orEmpty(),
                        System.currentTimeMillis(),
                        finished = true,
                    )
                answer(context, body, record)
            },
        )

    private fun answer(
        context: ServiceRequestContext,
        body: JsonObject,
        record: EngineRecord,
    ): HttpResponse {
        val now = behaviour
        val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: now.tokens
        val streamed = body["stream"]?.jsonPrimitive?.booleanOrNull == true
        return when (now.fault) {
            EngineFault.ERROR -> HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR)
            EngineFault.SILENT -> HttpResponse.streaming()
            else -> if (streamed) stream(context, now, record, tokens) else whole(context, now, record, tokens)
        }
    }

    private fun whole(
        context: ServiceRequestContext,
        now: EngineBehaviour,
        record: EngineRecord,
        tokens: Int,
    ): HttpResponse {
        recorded += record
        val text = wholeBody(record.model, tokens)
        val sent = if (now.fault == EngineFault.HALF_ANSWER) text.take(text.length / 2) else text
        val response = HttpResponse.of(HttpStatus.OK, MediaType.JSON, sent)
        val delay = now.timeToFirstToken + now.betweenTokens * tokens
        if (delay.inWholeMilliseconds == 0L) return response
        running.incrementAndGet()
        response.whenComplete().handle { _, _ -> running.decrementAndGet() }
        return HttpResponse.delayed(response, Duration.ofMillis(delay.inWholeMilliseconds), context.eventLoop())
    }

    private fun stream(
        context: ServiceRequestContext,
        now: EngineBehaviour,
        record: EngineRecord,
        tokens: Int,
    ): HttpResponse {
        recorded += record
        running.incrementAndGet()
        val response = HttpResponse.streaming()
        response.whenComplete().handle { _, _ -> running.decrementAndGet() }
        response.write(ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_TYPE, "text/event-stream"))
        val lastToken = if (now.fault == EngineFault.HALF_ANSWER) tokens / 2 else tokens
        val generation = Generating(context, response, now, record.model, tokens, lastToken)
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
        private val model: String,
        private val tokens: Int,
        private val lastToken: Int,
    ) {
        private var sent = 0

        fun next() {
            while (sent < lastToken) {
                sent++
                val data = if (now.fault == EngineFault.GARBAGE) "{garbage" else chunk(model, "token$sent ", null)
                if (!response.tryWrite(HttpData.ofUtf8("id: $sent\ndata: $data\n\n"))) return
                if (now.betweenTokens.inWholeMilliseconds > 0) {
                    context.eventLoop().schedule(
                        { next() },
                        now.betweenTokens.inWholeMilliseconds,
                        TimeUnit.MILLISECONDS,
                    )
                    return
                }
            }
            finish()
        }

        private fun finish() {
            if (lastToken == tokens) {
                response.tryWrite(HttpData.ofUtf8("id: ${sent + 1}\ndata: ${chunk(model, "", usage(tokens))}\n\n"))
                response.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
            }
            response.close()
        }
    }

    private fun chunk(
        model: String,
        text: String,
        usage: JsonObject?,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion.chunk"))
            put("model", JsonPrimitive(model))
            put("choices", choices(if (usage == null) "delta" else "message", text))
            usage?.let { put("usage", it) }
        }.toString()

    private fun wholeBody(
        model: String,
        tokens: Int,
    ): String =
        buildJsonObject {
            put("object", JsonPrimitive("chat.completion"))
            put("model", JsonPrimitive(model))
            put("choices", choices("message", (1..tokens).joinToString("") { "token$it " }))
            put("usage", usage(tokens))
        }.toString()

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
    }
}
