package dev.almondhaven.gateway.call

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into complete events. An incomplete event is buffered, so that a stream can
 * resume at another endpoint after the last event that the caller has received.
 */
internal class EventSplitter {
    private val buffer = ByteArrayOutputStream()

    /** Whether the buffer holds the beginning of an incomplete event. */
    val hasPartialEvent: Boolean get() = buffer.size() > 0

    /** Appends [bytes] to the buffer and removes the events that are complete now, in order. */
    fun append(bytes: ByteArray): List<StreamEvent> {
        buffer.write(bytes)
        val all = buffer.toByteArray()
        val events = ArrayList<StreamEvent>()
        var start = 0
        var end = endOfEvent(all, start)
        while (end > 0) {
            events += StreamEvent.of(all.copyOfRange(start, end))
            start = end
            end = endOfEvent(all, start)
        }
        if (start > 0) {
            buffer.reset()
            buffer.write(all, start, all.size - start)
        }
        return events
    }

    /** Index after the empty line that ends the event that begins at [start]; 0 if the event is incomplete. */
    private fun endOfEvent(
        bytes: ByteArray,
        start: Int,
    ): Int {
        var lineStart = start
        for (index in start until bytes.size) {
            if (bytes[index] != NEW_LINE) continue
            val lineEnd = if (index > lineStart && bytes[index - 1] == CARRIAGE_RETURN) index - 1 else index
            if (lineEnd == lineStart && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return 0
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
