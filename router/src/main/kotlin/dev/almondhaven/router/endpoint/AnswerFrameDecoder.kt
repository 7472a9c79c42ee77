package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.common.stream.StreamMessage
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.AnswerFrame
import dev.almondhaven.router.filter.RequestJournal
import dev.almondhaven.router.filter.Usage
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/**
 * Decodes an engine's server-sent events into answer frames. Drops duplicate events and events after the end of the
 * answer. A stream that ends without `[DONE]`, or contains an event that is not a JSON object, ends with
 * [AnswerFrame.Failed].
 *
 * @param resumedAfter sequence number after which the engine states that its answer begins; 0 for a full answer.
 */
internal class AnswerFrameDecoder(
    private val journal: RequestJournal,
    resumedAfter: Long = 0,
) {
    private var lastSequence = resumedAfter
    private var ended = false

    /** Decodes [events] into frames. */
    fun decode(events: StreamMessage<ServerSentEvent>): StreamMessage<AnswerFrame> {
        val frames = events.map(::toFrame)
        val end = StreamMessage.of(END_OF_STREAM).map { truncatedFrame() }
        return StreamMessage.concat(recoverErrors(frames), end).filter { it !== DROPPED }
    }

    private fun recoverErrors(frames: StreamMessage<AnswerFrame>): StreamMessage<AnswerFrame> =
        frames.recoverAndResume { cause -> StreamMessage.of(errorFrame(cause)) }

    private fun errorFrame(cause: Throwable): AnswerFrame =
        if (cause is ResponseTimeoutException) {
            fail(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the answer was complete")
        } else {
            fail(ResultCode.ANSWER_CUT, "the endpoint's answer was cut off: ${cause.message}")
        }

    private fun toFrame(event: ServerSentEvent): AnswerFrame {
        if (ended) return DROPPED
        if (event.data == DONE_EVENT) {
            ended = true
            return AnswerFrame.Finished
        }
        val sequence = event.id?.toLongOrNull() ?: (lastSequence + 1)
        if (sequence <= lastSequence) return DROPPED
        val chunk = parseOrNull(event.data) ?: return fail(ResultCode.ANSWER_MALFORMED, "an event is not a JSON object")
        lastSequence = sequence
        usageOrNull(chunk)?.let { journal.recordUsage(it) }
        return AnswerFrame.Token(sequence, event.data)
    }

    private fun truncatedFrame(): AnswerFrame =
        if (ended) DROPPED else fail(ResultCode.ANSWER_CUT, "the answer ended before the endpoint completed it")

    private fun fail(
        code: ResultCode,
        detail: String,
    ): AnswerFrame {
        if (ended) return DROPPED
        ended = true
        return AnswerFrame.Failed(Refusal(code, detail, journal.errorOutcome()))
    }

    private fun parseOrNull(data: String): JsonObject? =
        try {
            Json.parseToJsonElement(data) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    internal companion object {
        private const val DONE_EVENT = "[DONE]"
        private const val END_OF_STREAM = "end"

        /** Placeholder for a frame to drop; compared by identity and never delivered. */
        private val DROPPED = AnswerFrame.Token(sequence = -1, data = "")

        /** The token usage reported in an engine's answer or chunk; null if it reports none. */
        fun usageOrNull(answer: JsonObject): Usage? {
            val usage = answer["usage"] as? JsonObject ?: return null
            val prompt = (usage["prompt_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            val completion = (usage["completion_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            return Usage(prompt, completion)
        }
    }
}
