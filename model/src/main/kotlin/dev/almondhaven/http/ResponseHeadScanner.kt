package dev.almondhaven.http

/**
 * Checks the head of an HTTP/1.1 response against the grammar (RFC 9112, 4 and 5) byte by byte, while it arrives. Common
 * decoders are lenient with responses: they accept status codes of any length, lines without a colon, and blanks within
 * or behind the name of a field, which then is another one and may set the length of the body.
 *
 * ```
 * val scanner = ResponseHeadScanner()
 * val isHead = bytes.takeWhile { !scanner.isComplete }.all(scanner::accept)
 * ```
 */
public class ResponseHeadScanner {
    private enum class Position {
        /** Before the status line, where line ends of an earlier response may stand. */
        START,
        STATUS_LINE,
        FIELD_START,
        FIELD_NAME,
        FIELD_VALUE,

        /** Behind the carriage return of a line. */
        LINE_END,

        /** Behind the carriage return of the empty line that ends the head. */
        HEAD_END,
        COMPLETE,
    }

    private var position = Position.START

    /** Where the line begins that follows a [Position.LINE_END]. */
    private var nextLine = Position.START
    private var bytesInLine = 0
    private var bytes = 0

    /** The status in the status line; 0 before it has been read. */
    public var status: Int = 0
        private set

    /** Whether the whole head has been read. */
    public val isComplete: Boolean get() = position == Position.COMPLETE

    private val lineKind: String
        get() = if (position == Position.START || position == Position.STATUS_LINE) "status line" else "field line"

    /** Why the bytes that were read are no head of a response; null while they may be one. */
    public var problem: String? = null
        private set

    /** Reads the next byte of the head; returns false if the bytes so far begin no head of a response. */
    public fun accept(byte: Byte): Boolean {
        if (problem != null) return false
        check(!isComplete) { "the head with status $status is complete" }
        bytes++
        bytesInLine++
        val isValid = isValid(byte)
        if (!isValid) problem = "byte value ${byte.toInt() and BYTE_MASK} at index ${bytesInLine - 1} of the $lineKind"
        if (isValid && bytes > MAX_HEAD_BYTES) problem = "a head above $MAX_HEAD_BYTES bytes"
        return problem == null
    }

    /** Begins with the head of the next response. */
    public fun reset() {
        position = Position.START
        bytes = 0
        bytesInLine = 0
        status = 0
        problem = null
    }

    private fun isValid(byte: Byte): Boolean =
        when (position) {
            Position.START -> if (byte == CARRIAGE_RETURN) endLine(next = Position.START) else beginStatusLine(byte)
            Position.STATUS_LINE -> isValidInStatusLine(byte)
            Position.FIELD_START -> if (byte == CARRIAGE_RETURN) move(Position.HEAD_END) else beginField(byte)
            Position.FIELD_NAME -> if (byte == COLON) move(Position.FIELD_VALUE) else isTokenCharacter(byte)
            Position.FIELD_VALUE -> byte != CARRIAGE_RETURN || endLine(next = Position.FIELD_START)
            Position.LINE_END -> byte == LINE_FEED && beginLine()
            Position.HEAD_END -> byte == LINE_FEED && move(Position.COMPLETE)
            Position.COMPLETE -> false
        }

    private fun move(next: Position): Boolean {
        position = next
        return true
    }

    private fun endLine(next: Position): Boolean {
        nextLine = next
        return move(Position.LINE_END)
    }

    private fun beginLine(): Boolean {
        bytesInLine = 0
        return move(nextLine)
    }

    private fun beginStatusLine(byte: Byte): Boolean = move(Position.STATUS_LINE) && isValidInStatusLine(byte)

    private fun beginField(byte: Byte): Boolean = move(Position.FIELD_NAME) && isTokenCharacter(byte)

    private fun isValidInStatusLine(byte: Byte): Boolean {
        val character = byte.toInt().toChar()
        return when (val index = bytesInLine - 1) {
            in VERSION.indices -> character == VERSION[index]
            MINOR_VERSION -> character in '0'..'9'
            BLANK_BEFORE_STATUS -> byte == BLANK
            in STATUS -> isStatusDigit(character, isFirst = index == STATUS.first)
            BLANK_BEFORE_REASON -> byte == BLANK || (byte == CARRIAGE_RETURN && endLine(next = Position.FIELD_START))
            else -> isInReason(byte) || (byte == CARRIAGE_RETURN && endLine(next = Position.FIELD_START))
        }
    }

    private fun isStatusDigit(
        character: Char,
        isFirst: Boolean,
    ): Boolean {
        status = status * DECIMAL + (character - '0')
        return character in if (isFirst) '1'..'5' else '0'..'9'
    }

    private fun isInReason(byte: Byte): Boolean = byte == TAB || byte < 0 || (byte >= BLANK && byte != DELETE)

    public companion object {
        /** The longest head that a peer may send, in bytes. */
        public const val MAX_HEAD_BYTES: Int = 65_536
        private const val VERSION = "HTTP/1."
        private const val MINOR_VERSION = VERSION.length
        private const val BLANK_BEFORE_STATUS = MINOR_VERSION + 1
        private val STATUS = BLANK_BEFORE_STATUS + 1..BLANK_BEFORE_STATUS + 3
        private const val BLANK_BEFORE_REASON = BLANK_BEFORE_STATUS + 4
        private const val DECIMAL = 10
        private const val BYTE_MASK = 0xFF
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val TAB = '\t'.code.toByte()
        private const val BLANK = ' '.code.toByte()
        private const val COLON = ':'.code.toByte()
        private const val DELETE: Byte = 0x7F
        private val TOKEN_CHARACTERS =
            BooleanArray(Byte.MAX_VALUE + 1) { code ->
                code.toChar().let { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in "!#$%&'*+-.^_`|~" }
            }

        /** Whether the name of a field may hold [byte] (RFC 9110, 5.6.2). */
        public fun isTokenCharacter(byte: Byte): Boolean = byte >= 0 && TOKEN_CHARACTERS[byte.toInt()]
    }
}
