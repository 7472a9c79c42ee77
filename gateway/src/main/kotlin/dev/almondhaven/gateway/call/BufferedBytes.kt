package dev.almondhaven.gateway.call

/**
 * Bounds the bytes that this process holds of incomplete responses, so that a few endpoints that send without end can't
 * use up its memory. Must be used on the event loop only.
 */
internal class BufferedBytes(
    val limit: Long,
) {
    /** Bytes that are held now. */
    var held = 0L
        private set

    init {
        require(limit > 0) { "limit must be positive, got $limit" }
    }

    /** Adds [bytes] if they fit. */
    fun tryHold(bytes: Int): Boolean {
        if (held + bytes > limit) return false
        held += bytes
        return true
    }

    fun release(bytes: Int) {
        held -= bytes
    }

    companion object {
        /** Share of the heap that incomplete responses may take. */
        private const val HEAP_SHARE = 4

        fun ofHeap(): BufferedBytes = BufferedBytes(Runtime.getRuntime().maxMemory() / HEAP_SHARE)
    }
}
