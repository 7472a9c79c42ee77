package dev.almondhaven.experiments.distribution

import dev.almondhaven.catalogue.Catalogue
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The head of the configuration in virtual time: reads, waiting watches, outages, stale reads; counts the calls. */
internal class VirtualPlatform(
    private val scheduler: VirtualScheduler,
    private val random: UniformRandomProvider,
) {
    private val history = mutableListOf(Catalogue.EMPTY)
    private val waiting = mutableListOf<Waiting>()
    var outage = false
    val cutDomains = HashSet<String>()
    var staleReads = 0.0

    /** Watches that never hear of a change, from 0 to 1. */
    var silentWatches = 0.0
    var calls = 0L
        private set

    val head: Catalogue get() = history.last()

    private class Waiting(
        val domain: String,
        val silent: Boolean,
        val wake: () -> Unit,
    )

    fun publish(next: Catalogue) {
        check(next.generation > head.generation) { "generation ${next.generation} after ${head.generation}" }
        history += next
        val woken = waiting.filter { !it.silent && reachable(it.domain) }
        waiting.removeAll(woken)
        woken.forEach { scheduler.after(LATENCY) { it.wake() } }
    }

    /** Reads the head; [done] gets null when there is no answer. */
    fun read(
        domain: String,
        done: (Catalogue?) -> Unit,
    ) {
        calls++
        if (!reachable(domain)) return scheduler.after(CALL_TIMEOUT) { done(null) }
        val answer = if (random.nextDouble() < staleReads) history[random.nextInt(history.size)] else head
        scheduler.after(LATENCY) { done(answer) }
    }

    /** Waits for a head newer than [seen]; [done] gets true for a change, false for none, null for no answer. */
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
        val silent = random.nextDouble() < silentWatches
        val entry = Waiting(domain, silent) { finish(true) }
        waiting += entry
        val answered = !silent
        scheduler.after(if (answered) WATCH_WAIT else WATCH_WAIT + CALL_TIMEOUT) {
            waiting.remove(entry)
            finish(if (answered && reachable(domain)) false else null)
        }
    }

    private fun reachable(domain: String): Boolean = !outage && domain !in cutDomains

    private companion object {
        val LATENCY: Duration = 3.milliseconds
        val CALL_TIMEOUT: Duration = 2.seconds
        val WATCH_WAIT: Duration = 20.seconds
    }
}
