package dev.almondhaven.router

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.ResponseHeadersBuilder
import dev.almondhaven.model.Refusal
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.AnswerFrame
import dev.almondhaven.router.filter.Exchange
import kotlin.math.ceil
import kotlin.time.DurationUnit

/** Converts an [Answer] to an HTTP response. */
internal object AnswerWriter {
    /** The response for [answer]; [onFailedFrame] is called if the answer is a stream that ends with an error frame. */
    fun toResponse(
        exchange: Exchange,
        answer: Answer,
        onFailedFrame: (Refusal) -> Unit,
    ): HttpResponse =
        when (answer) {
            is Answer.Complete -> HttpResponse.of(headersOf(exchange, answer.status, answer.contentType), answer.body)
            is Answer.Streamed -> streamResponse(exchange, answer, onFailedFrame)
            is Answer.Refused -> errorResponse(exchange, answer.refusal)
        }

    private fun streamResponse(
        exchange: Exchange,
        answer: Answer.Streamed,
        onFailedFrame: (Refusal) -> Unit,
    ): HttpResponse {
        val events =
            answer.frames.map { frame ->
                if (frame is AnswerFrame.Failed) onFailedFrame(frame.refusal)
                HttpData.ofUtf8(formatEvent(exchange, frame))
            }
        return HttpResponse.of(headersOf(exchange, HttpStatus.OK, MediaType.EVENT_STREAM), events)
    }

    private fun formatEvent(
        exchange: Exchange,
        frame: AnswerFrame,
    ): String =
        when (frame) {
            is AnswerFrame.Token -> "id: ${frame.sequence}\ndata: ${frame.data}\n\n"
            AnswerFrame.Finished -> "data: [DONE]\n\n"
            is AnswerFrame.Failed -> "event: error\ndata: ${errorJson(exchange, frame.refusal)}\n\n"
        }

    private fun errorResponse(
        exchange: Exchange,
        refusal: Refusal,
    ): HttpResponse {
        val builder = headersBuilder(exchange, HttpStatus.valueOf(refusal.code.status), MediaType.JSON)
        builder.set(HttpHeaderNames.of("x-almondhaven-outcome"), refusal.outcome.wireName)
        refusal.retryAfter?.let {
            builder.set(HttpHeaderNames.RETRY_AFTER, "${maxOf(1, ceil(it.toDouble(DurationUnit.SECONDS)).toLong())}")
        }
        return HttpResponse.of(builder.build(), HttpData.ofUtf8(errorJson(exchange, refusal)))
    }

    private fun errorJson(
        exchange: Exchange,
        refusal: Refusal,
    ): String = ErrorBody.of(refusal, exchange.requestId.value).toJson()

    private fun headersOf(
        exchange: Exchange,
        status: HttpStatus,
        contentType: MediaType,
    ): ResponseHeaders = headersBuilder(exchange, status, contentType).build()

    private fun headersBuilder(
        exchange: Exchange,
        status: HttpStatus,
        contentType: MediaType,
    ): ResponseHeadersBuilder {
        val builder = ResponseHeaders.builder(status).contentType(contentType)
        builder.set("x-request-id", exchange.requestId.value)
        exchange.journal.servedVersion?.let { builder.set("x-almondhaven-model", it.toString()) }
        exchange.journal.answerHeaders.forEach { (name, value) -> builder.set(name, value) }
        return builder
    }
}
