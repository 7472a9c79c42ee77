package dev.almondhaven.gateway.call

import java.io.ByteArrayOutputStream

/**
 * Cuts a stream of server-sent events into whole events. What is not yet a whole event is held back, so that a stream can
 * go on at another endpoint after the last event that the caller has.
 */
internal class EventSplitter {
    private val buffer = ByteArrayOutputStream()

    /** Whether part of an event has come whose end has not. */
    val hasPartialEvent: Boolean get() = buffer.size() > 0

    /** Takes [bytes]; the events that are whole now, in order. */
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

    /** Index after the empty line that ends the event that begins at [start]; 0 if it has not come. */
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
