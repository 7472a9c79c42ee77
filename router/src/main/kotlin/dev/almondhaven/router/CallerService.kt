package dev.almondhaven.router

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.billing.BillingRecorder
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.filter.RequestHandler
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CompletionException
import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private val logger = KotlinLogging.logger {}

/** HTTP service for callers: passes each request through the filter chain and returns its answer as the response. */
internal class CallerService(
    private val handler: RequestHandler,
    private val metrics: RouterMetrics,
    private val billingRecorder: BillingRecorder,
    private val requestTimeout: Duration,
    private val clock: NanoClock,
) : HttpService {
    override fun serve(
        context: ServiceRequestContext,
        request: HttpRequest,
    ): HttpResponse =
        HttpResponse.of(
            request.aggregate().handle { aggregated, cause ->
                if (cause != null) {
                    rejectUnreadable(context, request.headers(), cause)
                } else {
                    handleRequest(context, aggregated)
                }
            },
        )

    private fun handleRequest(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val exchange = createExchange(context, request.headers(), request.content())
        billingRecorder.attach(exchange)
        val response =
            handler
                .handle(exchange)
                .exceptionally { internalError(exchange, it) }
                .thenApply { writeAnswer(context, exchange, it) }
        return HttpResponse.of(response)
    }

    private fun writeAnswer(
        context: ServiceRequestContext,
        exchange: Exchange,
        answer: Answer,
    ): HttpResponse {
        (answer as? Answer.Refused)?.let { exchange.journal.recordRefusal(it.refusal) }
        val response = AnswerWriter.toResponse(exchange, answer) { exchange.journal.recordRefusal(it) }
        context.log().whenComplete().thenRun { recordEnd(exchange) }
        return response
    }

    private fun recordEnd(exchange: Exchange) {
        exchange.journal.recordEnd()
        val organisation = exchange.journal.organisation?.value ?: NO_ORGANISATION
        val seconds = clock.elapsed(exchange.arrivedAt).toDouble(DurationUnit.SECONDS)
        metrics.recordRequest(organisation, exchange.journal.refusal?.code, seconds)
    }

    private fun internalError(
        exchange: Exchange,
        failure: Throwable,
    ): Answer {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(logger, cause) { "request=${exchange.requestId}" }
        val outcome = exchange.journal.errorOutcome()
        return Answer.Refused(Refusal(ResultCode.INTERNAL_ERROR, "unexpected error", outcome))
    }

    private fun rejectUnreadable(
        context: ServiceRequestContext,
        headers: RequestHeaders,
        cause: Throwable,
    ): HttpResponse {
        val exchange = createExchange(context, headers, HttpData.empty())
        val code =
            if (cause is ContentTooLargeException) ResultCode.BODY_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        return writeAnswer(context, exchange, Answer.Refused(Refusal.notRun(code, "${cause.message}")))
    }

    private fun createExchange(
        context: ServiceRequestContext,
        headers: RequestHeaders,
        body: HttpData,
    ): Exchange {
        val now = clock.nanos()
        val timeout =
            headers
                .get(TIMEOUT_HEADER)
                ?.toLongOrNull()
                ?.takeIf { it > 0 }
                ?.milliseconds ?: requestTimeout
        return Exchange(
            RequestId(newRequestId()),
            headers,
            body,
            arrivedAt = now,
            deadline = now + minOf(timeout, requestTimeout).inWholeNanoseconds,
            eventLoop = context.eventLoop().withoutContext(),
        )
    }

    private fun newRequestId(): String {
        val random = ThreadLocalRandom.current()
        return random.nextLong().toULong().toString(HEX_RADIX) + random.nextLong().toULong().toString(HEX_RADIX)
    }

    private companion object {
        /** Header with the longest time that the caller waits, in milliseconds. */
        const val TIMEOUT_HEADER = "x-timeout-ms"
        const val NO_ORGANISATION = "none"
        const val HEX_RADIX = 16
    }
}
