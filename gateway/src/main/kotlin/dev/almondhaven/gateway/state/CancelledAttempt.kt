package dev.almondhaven.gateway.state

/**
 * An attempt that was cancelled before its answer began.
 *
 * @property at monotonic time in nanoseconds.
 * @property responseStarted whether the head of the response had arrived.
 */
internal class CancelledAttempt(
    val request: String,
    val parts: List<String>,
    val responseStarted: Boolean,
    val at: Long,
)
