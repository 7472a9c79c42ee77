package dev.almondhaven.experiments.serving

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in the order of their virtual times, without threads or waiting; ties run in scheduling order. */
internal class VirtualTimeLoop {
    private class ScheduledAction(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<ScheduledAction>({ it.at }, { it.sequence }))
    private var nextSequence = 0L

    /** Virtual time in nanoseconds. */
    var now: Long = 0
        private set

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += ScheduledAction(now + delay.inWholeNanoseconds, nextSequence++, action)
    }

    /** Runs [action] now and then every [interval]. */
    fun every(
        interval: Duration,
        action: () -> Unit,
    ) {
        action()
        after(interval) { every(interval, action) }
    }

    /** Runs all actions that are due up to and including [end]. */
    fun runUntil(end: Duration) {
        while (queue.isNotEmpty() && queue.peek().at <= end.inWholeNanoseconds) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
    }
}
