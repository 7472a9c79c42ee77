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

/** Aborts a response of which nothing arrived before the first-byte deadline. */
private class EndpointSilentException : RuntimeException(null, null, false, false)

/**
 * The final handler of the filter chain: sends the request to the chosen endpoint and reads the answer. Immediately
 * before the dispatch it checks again, against the current catalogue and quarantines, that the version may be used.
 */
internal class Dispatcher(
    private val holder: CatalogueHolder,
    private val policy: VersionPolicy,
    private val clients: EndpointClients,
    private val clock: NanoClock,
    private val firstByteDeadline: Duration,
    private val nonIdempotentTimeout: Duration = DEFAULT_NON_IDEMPOTENT_TIMEOUT,
) : RequestHandler {
    override fun handle(exchange: Exchange): CompletableFuture<Answer> {
        val remaining = (exchange.deadline - clock.nanos()).nanoseconds
        if (!remaining.isPositive()) {
            return refuse(exchange, ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the dispatch")
        }
        policy.dispatchRefusal(exchange)?.let { return Answer.Refused(it).completed() }
        if (!holder.index.takesNewWork(exchange.endpoint.id)) {
            return refuse(exchange, ResultCode.NO_ENDPOINT, "endpoint ${exchange.endpoint.id} accepts no new requests")
        }
        val gate = exchange.dispatchGate
        // A non-idempotent call runs to its end even if its caller has disconnected, so that its outcome is recorded.
        val timeout = if (gate == null) remaining else maxOf(remaining, nonIdempotentTimeout)
        val options = RequestOptions.builder().responseTimeoutMillis(timeout.inWholeMilliseconds).build()
        if (gate != null && !gate.tryAcquire()) {
            return refuse(exchange, ResultCode.CLAIM_BOUND_PASSED, "the call's claim no longer permits a dispatch")
        }
        val request = EndpointRequests.of(exchange)
        exchange.journal.recordDispatch()
        val response = execute(exchange, request, options)
        if (exchange.call.idempotent) exchange.journal.whenEnded { response.abort() }
        val call = exchange.call
        val streamed = call is Call.Model && call.streamed
        return if (streamed) readStreamedAnswer(exchange, response) else readCompleteAnswer(exchange, response)
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

    private fun readCompleteAnswer(
        exchange: Exchange,
        response: HttpResponse,
    ): CompletableFuture<Answer> {
        val silenceTimer =
            (exchange.call as? Call.Model)?.let { abortAfter(exchange, response, completeAnswerTimeout(it)) }
        return response.aggregate().handle { aggregated, cause ->
            silenceTimer?.cancel(false)
            if (cause != null) handleFailure(exchange, cause) else completeAnswer(exchange, aggregated)
        }
    }

    /** An engine sends nothing of a non-streaming answer until all its tokens are generated. */
    private fun completeAnswerTimeout(call: Call.Model): Duration {
        val tokens = (call.body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: DEFAULT_ANSWER_TOKENS
        return firstByteDeadline + TIMEOUT_PER_TOKEN * maxOf(tokens, 1)
    }

    private fun abortAfter(
        exchange: Exchange,
        response: HttpResponse,
        timeout: Duration,
    ): Future<*> =
        exchange.eventLoop.schedule(
            { response.abort(EndpointSilentException()) },
            timeout.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )

    private fun completeAnswer(
        exchange: Exchange,
        response: AggregatedHttpResponse,
    ): Answer {
        if (exchange.call is Call.Model) {
            if (response.status() != HttpStatus.OK) return failWithStatus(exchange, response.status())
            val body =
                parseOrNull(response.contentUtf8())
                    ?: return fail(exchange, ResultCode.ANSWER_MALFORMED, "the answer is not a JSON object")
            AnswerFrameDecoder.usageOrNull(body)?.let { exchange.journal.recordUsage(it) }
        } else if (response.status().codeClass() == HttpStatusClass.SERVER_ERROR) {
            return failWithStatus(exchange, response.status())
        }
        recordServed(exchange)
        exchange.attempt.recordFirstToken(clock.nanos())
        exchange.attempt.recordEnd(AttemptResult.SUCCEEDED)
        val contentType = response.contentType() ?: MediaType.OCTET_STREAM
        return Answer.Complete(response.status(), contentType, response.content())
    }

    private fun readStreamedAnswer(
        exchange: Exchange,
        response: HttpResponse,
    ): CompletableFuture<Answer> {
        val splitResponse = response.split()
        val silenceTimer = abortAfter(exchange, response, firstByteDeadline)
        splitResponse.headers().whenComplete { _, _ -> silenceTimer.cancel(false) }
        return splitResponse.headers().handle { headers, cause ->
            if (cause != null) handleFailure(exchange, cause) else streamedAnswer(exchange, headers, splitResponse)
        }
    }

    private fun streamedAnswer(
        exchange: Exchange,
        headers: ResponseHeaders,
        response: SplitHttpResponse,
    ): Answer {
        if (headers.status() != HttpStatus.OK) {
            response.body().abort()
            return failWithStatus(exchange, headers.status())
        }
        recordServed(exchange)
        val events = response.body().decode(ServerSentEventDecoder())
        val resumedAfter = headers.getLong(RESUMED_AFTER_HEADER, 0)
        return Answer.Streamed(AnswerFrameDecoder(exchange.journal, resumedAfter).decode(events))
    }

    private fun recordServed(exchange: Exchange): Unit =
        exchange.journal.recordServed(exchange.version?.id, exchange.endpoint.id)

    private fun handleFailure(
        exchange: Exchange,
        failure: Throwable,
    ): Answer {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        val connectionLost = cause is UnprocessedRequestException || cause is ClosedSessionException
        if (connectionLost && !exchange.journal.hasEnded) exchange.attempt.recordEnd(AttemptResult.CONNECTION_LOST)
        return when (cause) {
            is UnprocessedRequestException -> {
                // Only a failed connect proves that no byte was sent; other causes, such as a failed write, do not.
                if (cause.cause !is ConnectException) {
                    return fail(exchange, ResultCode.ENDPOINT_FAILED, "the connection failed: ${cause.cause?.message}")
                }
                exchange.journal.recordUnsent()
                exchange.dispatchGate?.releaseUnsent()
                fail(exchange, ResultCode.ENDPOINT_UNREACHABLE, "cannot connect: ${cause.cause?.message}")
            }

            is EndpointSilentException -> {
                exchange.attempt.connection?.closeIfSilent(firstByteDeadline, clock)
                fail(exchange, ResultCode.ENDPOINT_SILENT, "the endpoint sent nothing before the silence deadline")
            }

            is ResponseTimeoutException -> {
                fail(exchange, ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the answer was complete")
            }

            else -> {
                fail(exchange, ResultCode.ANSWER_CUT, "the endpoint's answer was cut off: ${cause.message}")
            }
        }
    }

    private fun failWithStatus(
        exchange: Exchange,
        status: HttpStatus,
    ): Answer {
        if (status in OVERLOAD_STATUSES) exchange.attempt.recordEnd(AttemptResult.OVERLOADED)
        return fail(exchange, ResultCode.ENDPOINT_FAILED, "the endpoint returned status $status")
    }

    private fun fail(
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

    private fun refuse(
        exchange: Exchange,
        code: ResultCode,
        detail: String,
    ): CompletableFuture<Answer> {
        exchange.attempt.recordEnd(AttemptResult.ABANDONED)
        return Answer.Refused(Refusal(code, detail, exchange.journal.errorOutcome())).completed()
    }

    private fun parseOrNull(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        /** Assumed length of a non-streaming answer without `max_tokens`, for the silence timeout. */
        const val DEFAULT_ANSWER_TOKENS = 1_000

        /** Generation time allowed for each token of a non-streaming answer. */
        val TIMEOUT_PER_TOKEN = 100.milliseconds
        val DEFAULT_NON_IDEMPOTENT_TIMEOUT = 5.minutes

        /** Answer header in which an engine states the sequence number after which its answer begins. */
        const val RESUMED_AFTER_HEADER = "x-resumed-after"
        val OVERLOAD_STATUSES = setOf(HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE)
    }
}
