package dev.almondhaven.gateway.call

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Looks after all attempts in work with one timer. Lives on the event loop. */
internal class Watchdog(
    private val loop: EventLoop,
) {
    private val watched = LinkedHashSet<Attempt>()
    private var ticking = false

    fun watch(attempt: Attempt) {
        watched += attempt
        if (ticking) return
        ticking = true
        loop.schedule(::tick, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    fun release(attempt: Attempt) {
        watched -= attempt
    }

    private fun tick() {
        watched.toList().forEach { it.check() }
        ticking = watched.isNotEmpty()
        if (ticking) loop.schedule(::tick, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Small beside the shortest patience. */
        const val TICK_MILLIS = 50L
    }
}
