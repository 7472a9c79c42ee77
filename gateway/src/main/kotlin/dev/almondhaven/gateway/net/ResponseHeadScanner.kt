package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf

/**
 * Checks the head of an HTTP/1.1 response line by line while it arrives. Netty's decoder accepts status codes of any
 * length, other versions and other blanks.
 */
internal class ResponseHeadScanner {
    /** Bytes of the head that have been checked, all of them whole lines. */
    private var checkedBytes = 0
    private var isStatusLineDue = true

    /** Whether the end of the head has been found. */
    var isComplete = false
        private set

    /** Checks what [buffer] holds, which begins with the head; returns why that is no head of a response, or null. */
    fun scan(buffer: ByteBuf): String? {
        while (!isComplete) {
            val start = buffer.readerIndex() + checkedBytes
            val lineFeed = buffer.indexOf(start, buffer.writerIndex(), LINE_FEED)
            val scannedBytes = (if (lineFeed < 0) buffer.writerIndex() else lineFeed) - buffer.readerIndex()
            if (scannedBytes > MAX_HEAD_BYTES) return "a head above $MAX_HEAD_BYTES bytes"
            if (lineFeed < 0) return null
            val end = lineFeed - 1
            if (end < start || buffer.getByte(end) != CARRIAGE_RETURN) return "a line without a carriage return"
            problemOf(buffer, start, end)?.let { return it }
            checkedBytes = lineFeed + 1 - buffer.readerIndex()
        }
        return null
    }

    /** Begins with the head of the next response. */
    fun reset() {
        checkedBytes = 0
        isStatusLineDue = true
        isComplete = false
    }

    private fun problemOf(
        buffer: ByteBuf,
        start: Int,
        end: Int,
    ): String? {
        val isEmpty = start == end
        return when {
            // A late line end of an earlier response may precede the status line.
            isStatusLineDue && isEmpty -> null

            isStatusLineDue -> statusLineProblem(buffer, start, end).also { isStatusLineDue = false }

            isEmpty -> null.also { isComplete = true }

            else -> null
        }
    }

    private fun statusLineProblem(
        buffer: ByteBuf,
        start: Int,
        end: Int,
    ): String? {
        val line = buffer.toString(start, minOf(end - start, LOGGED_CHARACTERS), Charsets.ISO_8859_1)
        val match = STATUS_LINE.matchEntire(line)
        val status = match?.groupValues?.get(1)?.toInt()
        return when {
            status == null -> "the status line <${printable(line)}>"
            status == SWITCHING_PROTOCOLS -> "a switch of protocols"
            else -> null
        }
    }

    private fun printable(text: String): String = text.map { if (it in ' '..'~') it else '?' }.joinToString("")

    companion object {
        /** The longest head that a peer may send. */
        const val MAX_HEAD_BYTES = 65_536
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val SWITCHING_PROTOCOLS = 101
        private const val LOGGED_CHARACTERS = 60

        /** A status line, or its beginning; a reason may hold blanks and bytes of other character sets. */
        private val STATUS_LINE = Regex("""HTTP/1\.\d ([1-5]\d\d)(?: [\t -~\u0080-\u00FF]*)?""")
    }
}
