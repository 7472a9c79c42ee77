package dev.almondhaven.experiments.distribution

import dev.almondhaven.catalogue.Catalogue
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Serves the head of the configuration in virtual time, with injected outages and stale reads; counts the calls. */
internal class VirtualPlatform(
    private val scheduler: VirtualScheduler,
    private val random: UniformRandomProvider,
) {
    private val history = mutableListOf(Catalogue.EMPTY)
    private val pendingWatches = mutableListOf<PendingWatch>()
    var outage = false
    val unreachableDomains = HashSet<String>()
    var staleReadShare = 0.0

    /** Share of watches that are never notified of a change and time out, from 0 to 1. */
    var hangingWatchShare = 0.0
    var calls = 0L
        private set

    val head: Catalogue get() = history.last()

    private class PendingWatch(
        val domain: String,
        val silent: Boolean,
        val wake: () -> Unit,
    )

    fun publish(next: Catalogue) {
        check(next.generation > head.generation) { "generation ${next.generation} after ${head.generation}" }
        history += next
        val woken = pendingWatches.filter { !it.silent && reachable(it.domain) }
        pendingWatches.removeAll(woken)
        woken.forEach { scheduler.after(LATENCY) { it.wake() } }
    }

    /** Reads the head; [done] receives null if the call times out. */
    fun read(
        domain: String,
        done: (Catalogue?) -> Unit,
    ) {
        calls++
        if (!reachable(domain)) return scheduler.after(CALL_TIMEOUT) { done(null) }
        val answer = if (random.nextDouble() < staleReadShare) history[random.nextInt(history.size)] else head
        scheduler.after(LATENCY) { done(answer) }
    }

    /** Waits for a head newer than [seen]; [done] receives true for a change, false for none, null for a timeout. */
    fun watch(
        domain: String,
        seen: Catalogue?,
        done: (Boolean?) -> Unit,
    ) {
        calls++
        if (!reachable(domain)) return scheduler.after(CALL_TIMEOUT) { done(null) }
        if (seen != null && head.generation > seen.generation) return scheduler.after(LATENCY) { done(true) }
        var ended = false
        val finish = { result: Boolean? ->
            if (!ended) {
                ended = true
                done(result)
            }
        }
        val silent = random.nextDouble() < hangingWatchShare
        val entry = PendingWatch(domain, silent) { finish(true) }
        pendingWatches += entry
        val answered = !silent
        scheduler.after(if (answered) WATCH_TIMEOUT else WATCH_TIMEOUT + CALL_TIMEOUT) {
            pendingWatches.remove(entry)
            finish(if (answered && reachable(domain)) false else null)
        }
    }

    private fun reachable(domain: String): Boolean = !outage && domain !in unreachableDomains

    private companion object {
        val LATENCY: Duration = 3.milliseconds
        val CALL_TIMEOUT: Duration = 2.seconds
        val WATCH_TIMEOUT: Duration = 20.seconds
    }
}
