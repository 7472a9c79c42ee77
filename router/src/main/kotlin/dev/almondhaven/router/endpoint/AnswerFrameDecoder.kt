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
 * Turns an engine's events into answer frames. Duplicates and frames behind the end are dropped; a stream that ends
 * without `[DONE]`, or holds what isn't JSON, ends with [AnswerFrame.Failed].
 *
 * @param resumedAfter sequence number behind which the engine said it begins; 0 for a whole answer.
 */
internal class AnswerFrameDecoder(
    private val journal: RequestJournal,
    resumedAfter: Long = 0,
) {
    private var lastSequence = resumedAfter
    private var ended = false

    /** The frames of the answer in [events]. */
    fun of(events: StreamMessage<ServerSentEvent>): StreamMessage<AnswerFrame> {
        val frames = events.map(::toFrame)
        val completed = StreamMessage.concat(recovered(frames), StreamMessage.of(END_MARK).map { cutOrDropped() })
        return completed.filter { it !== DROPPED }
    }

    private fun recovered(frames: StreamMessage<AnswerFrame>): StreamMessage<AnswerFrame> =
        frames.recoverAndResume { cause -> StreamMessage.of(broken(cause)) }

    private fun broken(cause: Throwable): AnswerFrame =
        if (cause is ResponseTimeoutException) {
            fail(ResultCode.DEADLINE_EXCEEDED, "the deadline passed during the answer")
        } else {
            fail(ResultCode.ANSWER_CUT, "the endpoint's answer broke off: ${cause.message}")
        }

    private fun toFrame(event: ServerSentEvent): AnswerFrame {
        if (ended) return DROPPED
        if (event.data == DONE) {
            ended = true
            return AnswerFrame.Finished
        }
        val sequence = event.id?.toLongOrNull() ?: (lastSequence + 1)
        if (sequence <= lastSequence) return DROPPED
        val chunk = parse(event.data) ?: return fail(ResultCode.ANSWER_MALFORMED, "an event isn't a JSON object")
        lastSequence = sequence
        usageOf(chunk)?.let { journal.recordUsage(it) }
        return AnswerFrame.Token(sequence, event.data)
    }

    private fun cutOrDropped(): AnswerFrame =
        if (ended) DROPPED else fail(ResultCode.ANSWER_CUT, "the endpoint's answer ended early")

    private fun fail(
        code: ResultCode,
        detail: String,
    ): AnswerFrame {
        if (ended) return DROPPED
        ended = true
        return AnswerFrame.Failed(Refusal(code, detail, journal.errorOutcome()))
    }

    private fun parse(data: String): JsonObject? =
        try {
            Json.parseToJsonElement(data) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    internal companion object {
        private const val DONE = "[DONE]"
        private const val END_MARK = "end"
        private val DROPPED = AnswerFrame.Token(sequence = -1, data = "")

        /** The tokens that an engine's answer or chunk reports, if it does. */
        fun usageOf(answer: JsonObject): Usage? {
            val usage = answer["usage"] as? JsonObject ?: return null
            val prompt = (usage["prompt_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            val completion = (usage["completion_tokens"] as? JsonPrimitive)?.longOrNull ?: return null
            return Usage(prompt, completion)
        }
    }
}
