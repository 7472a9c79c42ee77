package dev.almondhaven.experiments.serving

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in the order of their virtual times, so that decisions can be driven without threads or waiting. */
internal class VirtualTimeLoop {
    private class Due(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val due = PriorityQueue(compareBy<Due>({ it.at }, { it.order }))
    private var scheduled = 0L

    /** Virtual nanoseconds. */
    var now: Long = 0
        private set

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        due += Due(now + delay.inWholeNanoseconds, scheduled++, action)
    }

    /** Runs [action] now and after every [interval]. */
    fun every(
        interval: Duration,
        action: () -> Unit,
    ) {
        action()
        after(interval) { every(interval, action) }
    }

    /** Runs everything that is due before [end]. */
    fun runUntil(end: Duration) {
        while (due.isNotEmpty() && due.peek().at <= end.inWholeNanoseconds) {
            val next = due.poll()
            now = next.at
            next.action()
        }
    }
}
