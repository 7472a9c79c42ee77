package dev.almondhaven.router.filter

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** Extracts the features of a chat request that determine its task class. */
internal object RequestFeatures {
    /** Whether any message of [body] contains an image part. */
    fun containsImages(body: JsonObject): Boolean {
        val messages = body["messages"] as? JsonArray ?: return false
        return messages.any { message -> parts(message as? JsonObject).any { it.typeName() == "image_url" } }
    }

    private fun parts(message: JsonObject?): JsonArray = message?.get("content") as? JsonArray ?: NO_PARTS

    private fun JsonElement.typeName(): String? = ((this as? JsonObject)?.get("type") as? JsonPrimitive)?.contentOrNull

    private val NO_PARTS = JsonArray(emptyList())
}
