package dev.almondhaven.gateway.call

/**
 * One server-sent event.
 *
 * @property id null if the event has no numeric id.
 */
internal class StreamEvent private constructor(
    val id: Long?,
    val bytes: ByteArray,
) {
    companion object {
        private val ID_LINE = Regex("""(?:^|\n)id:\s*(\d+)""")

        fun of(bytes: ByteArray): StreamEvent {
            val id =
                ID_LINE
                    .find(String(bytes, Charsets.ISO_8859_1))
                    ?.groupValues
                    ?.get(1)
                    ?.toLongOrNull()
            return StreamEvent(id, bytes)
        }
    }
}
