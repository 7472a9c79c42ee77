package dev.almondhaven.router.filter

import dev.almondhaven.decision.choice.ConfidenceBand
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.doubleOrNull

/**
 * Derives the confidence of an answer from its finish reason and the mean log-probability of its tokens. Accepts a
 * non-streaming answer or the chunks of a streamed one.
 */
internal class AnswerConfidence {
    private var logProbabilitySum = 0.0
    private var tokenCount = 0
    private var truncated = false

    /** Adds a non-streaming answer or one chunk of a streamed answer. */
    fun add(answer: JsonObject) {
        val choices = answer["choices"] as? JsonArray ?: return
        choices.filterIsInstance<JsonObject>().forEach { addChoice(it) }
    }

    /** The confidence in everything added so far. An answer without a finish reason counts as not truncated. */
    fun band(): ConfidenceBand =
        ConfidenceBand.of(!truncated, if (tokenCount == 0) null else logProbabilitySum / tokenCount)

    private fun addChoice(choice: JsonObject) {
        if ((choice["finish_reason"] as? JsonPrimitive)?.contentOrNull == LENGTH_LIMIT_REASON) truncated = true
        val content = (choice["logprobs"] as? JsonObject)?.get("content") as? JsonArray ?: return
        content.forEach { addToken(it) }
    }

    private fun addToken(token: JsonElement) {
        val value = ((token as? JsonObject)?.get("logprob") as? JsonPrimitive)?.doubleOrNull ?: return
        logProbabilitySum += value
        tokenCount++
    }

    companion object {
        /** The finish reason of an answer that was cut off at its token limit. */
        private const val LENGTH_LIMIT_REASON = "length"

        /** Returns [body] with log-probabilities requested, unless the caller has set the field. */
        fun requestLogProbabilities(body: JsonObject): JsonObject =
            if (body["logprobs"] != null) body else JsonObject(body + ("logprobs" to JsonPrimitive(true)))

        /** Parses an answer or chunk; returns null when [text] is not a JSON object. */
        fun parseOrNull(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        /** Returns [answer] without log-probabilities, for callers that did not request them. */
        fun removeLogProbabilities(answer: JsonObject): JsonObject {
            val choices = answer["choices"] as? JsonArray ?: return answer
            val stripped = choices.map { if (it is JsonObject) JsonObject(it - "logprobs") else it }
            return JsonObject(answer + ("choices" to JsonArray(stripped)))
        }
    }
}
