package dev.almondhaven.experiments.distribution

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in order of virtual time, on the calling thread. */
internal class VirtualScheduler {
    private val queue = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L

    /** Virtual time in nanoseconds. */
    var now = 0L
        private set

    private class Event(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += Event(now + delay.inWholeNanoseconds, sequence++, action)
    }

    /** Runs all actions due within the next [span] and advances the time by it. */
    fun run(span: Duration) {
        val end = now + span.inWholeNanoseconds
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.remove()
            now = next.at
            next.action()
        }
        now = end
    }
}
