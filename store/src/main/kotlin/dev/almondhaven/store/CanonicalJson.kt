package dev.almondhaven.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.security.MessageDigest
import java.util.HexFormat

/** Computes digests over JSON with sorted keys and no white space, so that equal values have equal digests. */
internal object CanonicalJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the lower-case hexadecimal SHA-256 of [value] without the top-level fields in [except]. */
    fun <T> digest(
        serializer: KSerializer<T>,
        value: T,
        except: Set<String> = emptySet(),
    ): String = digest(json.encodeToJsonElement(serializer, value), except)

    /** Returns the lower-case hexadecimal SHA-256 of [element] without the top-level fields in [except]. */
    fun digest(
        element: JsonElement,
        except: Set<String> = emptySet(),
    ): String {
        val kept = if (element is JsonObject) JsonObject(element.filterKeys { it !in except }) else element
        val bytes = MessageDigest.getInstance("SHA-256").digest(sorted(kept).toString().toByteArray())
        return HexFormat.of().formatHex(bytes)
    }

    private fun sorted(element: JsonElement): JsonElement =
        when (element) {
            is JsonObject -> JsonObject(element.toSortedMap().mapValues { sorted(it.value) })
            is JsonArray -> JsonArray(element.map { sorted(it) })
            else -> element
        }
}
