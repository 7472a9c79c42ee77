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
 * Reads how sure an engine was: from the finish reason and the log-probabilities in its answer or in the chunks of it.
 */
internal class AnswerConfidence {
    private var logProbabilities = 0.0
    private var tokens = 0
    private var cut = false

    /** Takes in a whole answer or one chunk. */
    fun add(answer: JsonObject) {
        val choices = answer["choices"] as? JsonArray ?: return
        choices.filterIsInstance<JsonObject>().forEach { addChoice(it) }
    }

    /** The confidence in what was taken in so far; an engine that gives no finish reason is taken at its word. */
    fun band(): ConfidenceBand = ConfidenceBand.of(!cut, if (tokens == 0) null else logProbabilities / tokens)

    private fun addChoice(choice: JsonObject) {
        if ((choice["finish_reason"] as? JsonPrimitive)?.contentOrNull == LENGTH) cut = true
        val content = (choice["logprobs"] as? JsonObject)?.get("content") as? JsonArray ?: return
        content.forEach { addToken(it) }
    }

    private fun addToken(token: JsonElement) {
        val value = ((token as? JsonObject)?.get("logprob") as? JsonPrimitive)?.doubleOrNull ?: return
        logProbabilities += value
        tokens++
    }

    companion object {
        private const val LENGTH = "length"

        /** [body] with a request for log-probabilities. */
        fun ask(body: JsonObject): JsonObject =
            if (body["logprobs"] != null) body else JsonObject(body + ("logprobs" to JsonPrimitive(true)))

        /** [text], an answer or chunk, as a JSON object; null when it is none. */
        fun parse(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        /** [answer] without the log-probabilities that the caller didn't ask for. */
        fun strip(answer: JsonObject): JsonObject {
            val choices = answer["choices"] as? JsonArray ?: return answer
            val stripped = choices.map { if (it is JsonObject) JsonObject(it - "logprobs") else it }
            return JsonObject(answer + ("choices" to JsonArray(stripped)))
        }
    }
}
