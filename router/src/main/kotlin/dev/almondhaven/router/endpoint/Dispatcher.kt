package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ClosedSessionException
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.SplitHttpResponse
import com.linecorp.armeria.common.logging.RequestLogProperty
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.AttemptResult
import dev.almondhaven.router.filter.Call
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestHandler
import dev.almondhaven.router.filter.VersionPolicy
import dev.almondhaven.router.filter.completed
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds

private val logger = KotlinLogging.logger {}

/** The first byte of an answer didn't come in time. */
private class EndpointSilentException : RuntimeException(null, null, false, false)

/**
 * The end of the filter chain: sends the request to the chosen endpoint and reads its answer. Immediately before the
 * dispatch it checks once more, against the newest catalogue and quarantines, that the version is allowed.
 */
internal class Dispatcher(
    private val holder: CatalogueHolder,
    private val policy: VersionPolicy,
    private val clients: EndpointClients,
    private val clock: NanoClock,
    private val firstByteDeadline: Duration,
    private val nonIdempotentLimit: Duration = DEFAULT_RUN_LIMIT,
) : RequestHandler {
    override fun handle(exchange: Exchange): CompletableFuture<Answer> {
        val remaining = (exchange.deadline - clock.nanos()).nanoseconds
        if (!remaining.isPositive()) {
            return refused(exchange, ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the dispatch")
        }
        policy.dispatchRefusal(exchange)?.let { return Answer.Refused(it).completed() }
        if (!holder.index.takesNewWork(exchange.endpoint.id)) {
            return refused(exchange, ResultCode.NO_ENDPOINT, "endpoint ${exchange.endpoint.id} takes no new work")
        }
        val gate = exchange.dispatchGate
        // A non-idempotent call runs to its end, so that its outcome can be recorded, also when its caller has left.
        val limit = if (gate == null) remaining else maxOf(remaining, nonIdempotentLimit)
        val options = RequestOptions.builder().responseTimeoutMillis(limit.inWholeMilliseconds).build()
        if (gate != null && !gate.tryAcquire()) {
            return refused(exchange, ResultCode.CLAIM_BOUND_PASSED, "the claim may no longer be dispatched")
        }
        val request = EndpointRequests.of(exchange)
        exchange.journal.recordDispatch()
        val response = execute(exchange, request, options)
        if (exchange.call.idempotent) exchange.journal.whenEnded { response.abort() }
        val call = exchange.call
        val streamed = call is Call.Model && call.streamed
        return if (streamed) readStream(exchange, response) else readWhole(exchange, response)
    }

    private fun execute(
        exchange: Exchange,
        request: HttpRequest,
        options: RequestOptions,
    ): HttpResponse =
        Clients.newContextCaptor().use { captor ->
            val response = clients.of(exchange.endpoint).execute(request, options)
            captor.get().log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
                val channel = log.channel() ?: return@thenAccept
                exchange.attempt.recordConnection(EndpointConnection.of(channel, clock.nanos()))
            }
            response
        }

    private fun readWhole(
        exchange: Exchange,
        response: HttpResponse,
    ): CompletableFuture<Answer> {
        val silence = (exchange.call as? Call.Model)?.let { abortLater(exchange, response, wholeAnswerDeadline(it)) }
        return response.aggregate().handle { aggregated, cause ->
            silence?.cancel(false)
            if (cause != null) failure(exchange, cause) else wholeAnswer(exchange, aggregated)
        }
    }

    /** An engine sends nothing of a whole answer until it has generated all of it. */
    private fun wholeAnswerDeadline(call: Call.Model): Duration {
        val tokens = (call.body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: DEFAULT_ANSWER_TOKENS
        return firstByteDeadline + WHOLE_ANSWER_TOKEN_ALLOWANCE * maxOf(tokens, 1)
    }

    private fun abortLater(
        exchange: Exchange,
        response: HttpResponse,
        deadline: Duration,
    ): Future<*> =
        exchange.eventLoop.schedule(
            { response.abort(EndpointSilentException()) },
            deadline.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )

    private fun wholeAnswer(
        exchange: Exchange,
        response: AggregatedHttpResponse,
    ): Answer {
        if (exchange.call is Call.Model) {
            if (response.status() != HttpStatus.OK) return badStatus(exchange, response.status())
            val body =
                parse(response.contentUtf8())
                    ?: return bad(exchange, ResultCode.ANSWER_MALFORMED, "the answer isn't a JSON object")
            AnswerFrameDecoder.usageOf(body)?.let { exchange.journal.recordUsage(it) }
        } else if (response.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            return badStatus(exchange, response.status())
        }
        recordServed(exchange)
        exchange.attempt.recordFirstToken(clock.nanos())
        exchange.attempt.recordEnd(AttemptResult.SUCCEEDED)
        val contentType = response.contentType() ?: MediaType.OCTET_STREAM
        return Answer.Complete(response.status(), contentType, response.content())
    }

    private fun readStream(
        exchange: Exchange,
        response: HttpResponse,
    ): CompletableFuture<Answer> {
        val split = response.split()
        val silence = abortLater(exchange, response, firstByteDeadline)
        split.headers().whenComplete { _, _ -> silence.cancel(false) }
        return split.headers().handle { headers, cause ->
            if (cause != null) failure(exchange, cause) else streamAnswer(exchange, headers, split)
        }
    }

    private fun streamAnswer(
        exchange: Exchange,
        headers: ResponseHeaders,
        split: SplitHttpResponse,
    ): Answer {
        if (headers.status() != HttpStatus.OK) {
            split.body().abort()
            return badStatus(exchange, headers.status())
        }
        recordServed(exchange)
        val events = split.body().decode(ServerSentEventDecoder())
        val resumedAfter = headers.getLong(RESUMED_AFTER, 0)
        return Answer.Streamed(AnswerFrameDecoder(exchange.journal, resumedAfter).of(events))
    }

    private fun recordServed(exchange: Exchange): Unit =
        exchange.journal.recordServed(exchange.version?.id, exchange.endpoint.id)

    private fun failure(
        exchange: Exchange,
        failure: Throwable,
    ): Answer {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        val lost = cause is UnprocessedRequestException || cause is ClosedSessionException
        if (lost && !exchange.journal.hasEnded) exchange.attempt.recordEnd(AttemptResult.CONNECTION_LOST)
        return when (cause) {
            is UnprocessedRequestException -> {
                // Other causes, such as a failed write, don't prove that no byte was sent.
                if (cause.cause !is ConnectException) {
                    return bad(exchange, ResultCode.ENDPOINT_FAILED, "the connection failed: ${cause.cause?.message}")
                }
                exchange.journal.recordUnsent()
                exchange.dispatchGate?.releaseUnsent()
                bad(exchange, ResultCode.ENDPOINT_UNREACHABLE, "${cause.cause?.message}")
            }

            is EndpointSilentException -> {
                exchange.attempt.connection?.closeIfSilent(firstByteDeadline, clock)
                bad(exchange, ResultCode.ENDPOINT_SILENT, "the endpoint sent nothing in time")
            }

            is ResponseTimeoutException -> {
                bad(exchange, ResultCode.DEADLINE_EXCEEDED, "the deadline passed during the answer")
            }

            else -> {
                bad(exchange, ResultCode.ANSWER_CUT, "the endpoint's answer broke off: ${cause.message}")
            }
        }
    }

    private fun badStatus(
        exchange: Exchange,
        status: HttpStatus,
    ): Answer {
        if (status in OVERLOAD_STATUSES) exchange.attempt.recordEnd(AttemptResult.OVERLOADED)
        return bad(exchange, ResultCode.ENDPOINT_FAILED, "the endpoint answered $status")
    }

    private fun bad(
        exchange: Exchange,
        code: ResultCode,
        detail: String,
    ): Answer {
        exchange.attempt.recordEnd(if (exchange.journal.hasEnded) AttemptResult.ABANDONED else AttemptResult.FAILED)
        LogEvent.ENDPOINT_ANSWER_BAD.log(logger) {
            "request=${exchange.requestId} endpoint=${exchange.endpoint.id} detail=$detail"
        }
        return Answer.Refused(Refusal(code, detail, exchange.journal.errorOutcome()))
    }

    private fun refused(
        exchange: Exchange,
        code: ResultCode,
        detail: String,
    ): CompletableFuture<Answer> {
        exchange.attempt.recordEnd(AttemptResult.ABANDONED)
        return Answer.Refused(Refusal(code, detail, exchange.journal.errorOutcome())).completed()
    }

    private fun parse(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        /** Tokens of a whole answer whose request sets no limit, for judging its endpoint silent. */
        const val DEFAULT_ANSWER_TOKENS = 1_000
        val WHOLE_ANSWER_TOKEN_ALLOWANCE = 100.milliseconds
        val DEFAULT_RUN_LIMIT = 5.minutes

        /** The engine's word that its answer begins behind this sequence number. */
        const val RESUMED_AFTER = "x-resumed-after"
        val OVERLOAD_STATUSES = setOf(HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE)
    }
}
