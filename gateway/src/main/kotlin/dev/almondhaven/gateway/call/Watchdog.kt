package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.duty.RecurringTask
import dev.almondhaven.gateway.duty.forEachIsolated
import io.netty.channel.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/** Checks all attempts in flight for stalls, with one timer. Must be used on the event loop only. */
internal class Watchdog(
    loop: EventLoop,
) {
    private val watched = LinkedHashSet<Attempt>()

    /** The checks, which rest while no attempt is in flight. */
    val checks = RecurringTask(NAME, loop, CHECK_INTERVAL, { watched.isNotEmpty() }, ::checkAll)

    fun watch(attempt: Attempt) {
        watched += attempt
        checks.resume()
    }

    fun release(attempt: Attempt) {
        watched -= attempt
    }

    /** Ends the attempts whose prompts have been quarantined since they were sent. */
    fun endQuarantined(): Unit = watched.toList().forEachIsolated(NAME) { it.endIfQuarantined() }

    private fun checkAll(): Unit = watched.toList().forEachIsolated(NAME) { it.checkStalled() }

    private companion object {
        /** Short compared with the shortest stall timeout. */
        val CHECK_INTERVAL = 50.milliseconds
        const val NAME = "check of attempts"
    }
}
