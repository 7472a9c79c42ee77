package dev.almondhaven.experiments.serving

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.LoadReport
import dev.almondhaven.decision.endpoint.SlowStart
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Models an engine as a queue with [Endpoint.slots] servers and a least-recently-used prefix cache. While the engine is
 * cold, requests that start while more are in flight than its slow start allows run slower.
 */
internal class SimulatedEngine(
    val endpoint: Endpoint,
    private val loop: VirtualTimeLoop,
    private val random: UniformRandomProvider,
    private val slowdown: Double,
) {
    private class Job(
        val key: Long,
        val onFirstToken: () -> Unit,
        val onEnd: () -> Unit,
        val onLost: () -> Unit,
    )

    private val waiting = ArrayDeque<Job>()
    private val started = LinkedHashSet<Job>()
    private val cache =
        object : LinkedHashMap<Long, Unit>(CACHE_ENTRIES, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > CACHE_ENTRIES
        }
    private var running = 0
    private var starts = 0
    private var startedAt = (-INITIAL_UPTIME).inWholeNanoseconds

    /** Requests whose prefix was found in the cache; [misses] counts the others. */
    var hits = 0
        private set
    var misses = 0
        private set

    /** Largest number of requests in flight above the slow-start limit at that time. */
    var worstExcess = 0
        private set

    private val inFlight: Int get() = running + waiting.size

    /** Empties the cache and restarts slow start, but keeps requests and connections. */
    fun turnCold() {
        starts++
        startedAt = loop.now
        cache.clear()
    }

    /** Turns cold and loses all running and waiting requests. */
    fun restart() {
        val lost = started.toList() + waiting
        started.clear()
        waiting.clear()
        running = 0
        turnCold()
        lost.forEach { it.onLost() }
    }

    fun report(): LoadReport =
        LoadReport("$starts", running, waiting.size, endpoint.slots, (loop.now - startedAt).nanoseconds)

    fun accept(
        key: Long,
        onFirstToken: () -> Unit,
        onEnd: () -> Unit,
        onLost: () -> Unit,
    ) {
        waiting += Job(key, onFirstToken, onEnd, onLost)
        coldLimit()?.let { worstExcess = maxOf(worstExcess, inFlight - it) }
        serve()
    }

    private fun coldLimit(): Int? = SLOW_START.fleetLimit(endpoint.slots, (loop.now - startedAt).nanoseconds)

    private fun serve() {
        while (running < endpoint.slots && waiting.isNotEmpty()) start(waiting.removeFirst())
    }

    private fun start(job: Job) {
        running++
        started += job
        val cached = cache.put(job.key, Unit) != null
        if (cached) hits++ else misses++
        val overloaded = coldLimit()?.let { inFlight > it } ?: false
        val factor = slowdown * (if (overloaded) COLD_OVERLOAD_SLOWDOWN else 1.0)
        val prefill = (if (cached) CACHED_PREFILL else PREFILL) * factor
        loop.after(prefill) {
            if (job in started) job.onFirstToken()
            loop.after(MEAN_GENERATION * (-ln(1 - random.nextDouble())) * factor) { finish(job) }
        }
    }

    private fun finish(job: Job) {
        if (!started.remove(job)) return
        running--
        job.onEnd()
        serve()
    }

    companion object {
        private const val CACHE_ENTRIES = 64
        private const val LOAD_FACTOR = 0.75f
        private const val COLD_OVERLOAD_SLOWDOWN = 6.0
        private val INITIAL_UPTIME: Duration = 3_600.seconds
        private val SLOW_START = SlowStart()
        val PREFILL = 120.milliseconds
        val CACHED_PREFILL = 20.milliseconds
        val MEAN_GENERATION = 900.milliseconds

        /** Requests per second that one slot serves without cache hits: 120 ms of prefill and 900 ms of decode each. */
        const val REQUESTS_PER_SLOT_SECOND = 1 / 1.02
    }
}
