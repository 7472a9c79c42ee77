package dev.almondhaven.gateway.duty

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Looks after the [Duty]s and [RecurringTask]s of a router: begins those anew whose next step is missing. Must be used on the
 * event loop only.
 */
internal class DutySupervisor(
    private val loop: EventLoop,
) {
    private val duties = ArrayList<Duty>()
    private val tasks = ArrayList<RecurringTask>()

    /** Whether no duty has been failing for longer than is tolerated. */
    val areDutiesSound: Boolean get() = duties.all { it.isSound }

    /** Looks after [duty] from now on. */
    fun add(duty: Duty) {
        duties += duty
    }

    /** Looks after [task] from now on. */
    fun add(task: RecurringTask) {
        tasks += task
    }

    fun start() {
        // The event loop stops repeating a task that throws, so the check catches whatever it meets.
        loop.scheduleWithFixedDelay(::check, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        duties.forEach { duty -> runQuietly(duty::restartIfOverdue) }
        tasks.forEach { task -> runQuietly(task::resume) }
    }

    /** What fails here is tried again by the next check; a failure that could be logged has been. */
    private fun runQuietly(action: () -> Unit) {
        try {
            action()
        } catch (_: Throwable) {
            unrecordedFailures++
        }
    }

    private var unrecordedFailures = 0L

    /** What has failed so far, by name, as the log shows it. */
    override fun toString(): String {
        val counts = duties.map { it.name to it.failures } + tasks.map { it.name to it.failures }
        return (counts + ("unrecorded" to unrecordedFailures))
            .filter { (_, failures) -> failures > 0 }
            .joinToString(",", "failures={", "}") { (name, failures) -> "$name:$failures" }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 500L
    }
}
