package dev.almondhaven.operator

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.nio.file.Path
import java.time.Instant
import kotlin.io.path.name
import kotlin.io.path.useLines

/** The events that routers have logged about one request, ordered by time. */
internal class RequestLog private constructor(
    val events: List<Event>,
) {
    /**
     * One log event.
     *
     * @property source name of the file that holds the event.
     */
    data class Event(
        val at: Instant,
        val source: String,
        val text: String,
    )

    companion object {
        /** Reads the events about the request [id] from [files], skipping lines that aren't log events. */
        fun read(
            id: String,
            files: List<Path>,
        ): RequestLog {
            val requestField = Regex("""\brequest=${Regex.escape(id)}(\s|$)""")
            val events =
                files.flatMap { file ->
                    file.useLines { lines ->
                        lines
                            .filter { id in it }
                            .mapNotNull { parseEvent(it, file.name) }
                            .filter { requestField.containsMatchIn(it.text) }
                            .toList()
                    }
                }
            return RequestLog(events.sortedBy { it.at })
        }

        /** Parses the JSON event in [line], which may follow a prefix such as a log collector's own timestamp. */
        private fun parseEvent(
            line: String,
            source: String,
        ): Event? {
            val fields =
                try {
                    Json.parseToJsonElement(line.substring(line.indexOf('{').coerceAtLeast(0))) as? JsonObject
                } catch (_: IllegalArgumentException) {
                    // Not an event, such as output of the Java runtime or a truncated line.
                    null
                }
            val timestamp = (fields?.get("timestamp") as? JsonPrimitive)?.longOrNull ?: return null
            val text = (fields["message"] as? JsonPrimitive)?.content ?: return null
            return Event(Instant.ofEpochMilli(timestamp), source, text)
        }
    }
}
