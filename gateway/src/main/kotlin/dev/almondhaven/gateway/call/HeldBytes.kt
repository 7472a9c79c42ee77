package dev.almondhaven.gateway.call

/**
 * The part of [BufferedBytes] that one response holds. A small response is not counted, so that those of sound endpoints
 * are held even while others use up the limit.
 */
internal class HeldBytes(
    private val total: BufferedBytes,
) {
    private var counted = 0

    /** Changes the size of what the response holds to [size] bytes, if they fit. */
    fun tryResize(size: Int): Boolean {
        val next = (size - UNCOUNTED_BYTES).coerceAtLeast(0)
        if (next <= counted) {
            total.release(counted - next)
        } else if (!total.tryHold(next - counted)) {
            return false
        }
        counted = next
        return true
    }

    fun release() {
        total.release(counted)
        counted = 0
    }

    companion object {
        /** 16 KiB; several times the usual response of a plain service, and more than an event of some tokens. */
        const val UNCOUNTED_BYTES = 16_384
    }
}
