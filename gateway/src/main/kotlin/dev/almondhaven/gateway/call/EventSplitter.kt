package dev.almondhaven.gateway.call

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into complete events. An incomplete event is buffered, so that a stream can
 * resume at another endpoint after the last event that the caller has received.
 */
internal class EventSplitter {
    private val buffer = ByteArrayOutputStream()
    private var linesInEvent = 0
    private var lineBytes = 0
    private var lastByte: Byte = 0

    /** Size of the incomplete event. */
    val partialBytes: Int get() = buffer.size()

    /** Whether the buffer holds the beginning of an incomplete event. */
    val hasPartialEvent: Boolean get() = buffer.size() > 0

    /** Whether the incomplete event is larger than any that an endpoint may send. */
    val isOversized: Boolean get() = buffer.size() > MAX_EVENT_BYTES

    /** Appends [bytes] to the buffer and removes the events that are complete now, in order. */
    fun append(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        var start = 0
        bytes.forEachIndexed { index, byte ->
            if (endsEvent(byte)) {
                buffer.write(bytes, start, index + 1 - start)
                start = index + 1
                events += StreamEvent.of(buffer.toByteArray())
                buffer.reset()
            }
        }
        buffer.write(bytes, start, bytes.size - start)
        return events
    }

    /** Advances by [byte]; true if it ends an empty line, and with it the event. */
    private fun endsEvent(byte: Byte): Boolean {
        if (byte != NEW_LINE) {
            lineBytes++
            lastByte = byte
            return false
        }
        val isEmptyLine = lineBytes == 0 || (lineBytes == 1 && lastByte == CARRIAGE_RETURN)
        lineBytes = 0
        val ended = isEmptyLine && linesInEvent > 0
        linesInEvent = if (ended) 0 else linesInEvent + 1
        return ended
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()

        /** 1 MiB; an event holds a few tokens. */
        const val MAX_EVENT_BYTES = 1_048_576
    }
}
