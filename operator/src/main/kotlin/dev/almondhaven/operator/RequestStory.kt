package dev.almondhaven.operator

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.nio.file.Path
import java.time.Instant
import kotlin.io.path.name
import kotlin.io.path.useLines

/** What routers have logged of one request, in the order of time. */
internal class RequestStory private constructor(
    val lines: List<Line>,
) {
    /**
     * One logged event.
     *
     * @property source name of the file.
     */
    data class Line(
        val at: Instant,
        val source: String,
        val text: String,
    )

    companion object {
        /** Reads the lines that tell of the request [id] from [files]; lines that are no log events are passed over. */
        fun read(
            id: String,
            files: List<Path>,
        ): RequestStory {
            val told = Regex("""\brequest=${Regex.escape(id)}(\s|$)""")
            val found =
                files.flatMap { file ->
                    file.useLines { lines ->
                        lines
                            .filter { id in it }
                            .mapNotNull {
                                event(
                                    it,
                                    file.name,
                                )
                            }.filter { told.containsMatchIn(it.text) }
                            .toList()
                    }
                }
            return RequestStory(found.sortedBy { it.at })
        }

        /** Output may bear a prefix, such as a collector's own time, before the event. */
        private fun event(
            line: String,
            source: String,
        ): Line? {
            val fields =
                try {
                    Json.parseToJsonElement(line.substring(line.indexOf('{').coerceAtLeast(0))) as? JsonObject
                } catch (_: IllegalArgumentException) {
                    // Not an event: output of the runtime, or a line that was cut.
                    null
                }
            val at = (fields?.get("timestamp") as? JsonPrimitive)?.longOrNull ?: return null
            val text = (fields["message"] as? JsonPrimitive)?.content ?: return null
            return Line(Instant.ofEpochMilli(at), source, text)
        }
    }
}
