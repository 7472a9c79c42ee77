package dev.almondhaven.experiments.distribution

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What one run of a fleet cost. */
internal class FleetCost(
    val platformCallsPerSecond: Double,
    val messagesPerRouterSecond: Double,
    val bodyBytesPerRouterSecond: Double,
    val cpuShare: Double,
)

/** Starts a fleet of a given size in virtual time and measures publishing and cost. */
internal class FleetMeasurement(
    private val size: Int,
    plan: WatchPlan = WatchPlan(),
) {
    private val fleet = VirtualFleet(SEED + size, plan)
    private val domains = if (size <= SMALL_FLEET) 4 else 6

    /** Starts the fleet and waits until it agrees; returns how long that took. */
    fun settle(): Duration? {
        repeat(size) { fleet.start("domain-${it % domains}") }
        fleet.platform.publish(catalogue(Generation(1)))
        return fleet.runUntil(SETTLE_LIMIT, 1.seconds) { fleet.converged() }
    }

    /** Lets [span] pass and returns what that cost. */
    fun cost(span: Duration): FleetCost = cost { fleet.run(span) }

    /** The cost of [span] with a note every [interval]. */
    fun costOfPublishing(
        span: Duration,
        interval: Duration,
    ): FleetCost =
        cost {
            repeat((span / interval).toInt()) {
                publishOne()
                fleet.run(interval)
            }
        }

    /** Platform calls per second of virtual time while [action] runs. */
    fun callsDuring(action: () -> Unit): Double = cost(action).platformCallsPerSecond

    private fun cost(action: () -> Unit): FleetCost {
        val threads = ManagementFactory.getThreadMXBean()
        val start = fleet.scheduler.now
        val calls = fleet.platform.calls
        val messages = fleet.network.messages
        val bytes = fleet.network.bodyBytes
        val cpu = threads.currentThreadCpuTime
        action()
        val seconds = (fleet.scheduler.now - start) / NANOS_PER_SECOND
        return FleetCost(
            (fleet.platform.calls - calls) / seconds,
            OUT_AND_IN * (fleet.network.messages - messages) / seconds / size,
            OUT_AND_IN * (fleet.network.bodyBytes - bytes) / seconds / size,
            (threads.currentThreadCpuTime - cpu) / NANOS_PER_SECOND / seconds / size,
        )
    }

    /** Publishes the next generation. */
    fun publishOne() {
        fleet.platform.publish(
            catalogue(
                fleet.platform.head.generation
                    .next(),
            ),
        )
    }

    /** Publishes [count] notes and returns the times from each to its being in force at each router, in microseconds. */
    fun timesToInForce(count: Int): Histogram {
        val histogram = Histogram(HISTOGRAM_DIGITS)
        repeat(count) {
            fleet.run((fleet.random.nextInt(LONGEST_GAP_MILLIS) + SHORTEST_GAP_MILLIS).milliseconds)
            publish(histogram)
        }
        return histogram
    }

    private fun publish(histogram: Histogram) {
        val generation =
            fleet.platform.head.generation
                .next()
        val publishedAt = fleet.scheduler.now
        fleet.platform.publish(catalogue(generation))
        fleet.runUntil(IN_FORCE_LIMIT, 10.milliseconds) { fleet.routers.all { it.generation >= generation } }
        fleet.routers.forEach { router ->
            val at = router.inForce.firstOrNull { it.generation >= generation }?.at
            val nanos = at?.let { it - publishedAt } ?: IN_FORCE_LIMIT.inWholeNanoseconds
            histogram.recordValue(nanos / NANOS_PER_MICROSECOND)
        }
    }

    /** Takes the platform away, or gives it back. */
    fun outage(on: Boolean) {
        fleet.platform.outage = on
    }

    /** Ends [count] routers without a word and starts new ones at their addresses. */
    fun restart(count: Int) {
        repeat(count) { fleet.restart(fleet.routers[fleet.random.nextInt(fleet.routers.size)]) }
    }

    /** Runs until all agree; null if they don't. */
    fun agree(): Duration? = fleet.runUntil(SETTLE_LIMIT, 100.milliseconds) { fleet.converged() }

    /** Lets [span] pass. */
    fun run(span: Duration): Unit = fleet.run(span)

    private fun catalogue(generation: Generation): Catalogue {
        val replicas = if (size <= SMALL_FLEET) SMALL_REPLICAS else LARGE_REPLICAS
        val endpoints =
            List(replicas) { index ->
                Endpoint(
                    EndpointId("engine-$index"),
                    FailureDomainId("domain-${index % domains}"),
                    "10.1.${index / 250}.${index % 250}:8000",
                    listOf(ModelVersionId.parse("slate-large@${index % 9}")),
                )
            }
        return Catalogue(generation, endpoints = endpoints)
    }

    private companion object {
        const val SEED = 370L
        const val SMALL_FLEET = 5
        const val SMALL_REPLICAS = 14
        const val LARGE_REPLICAS = 780
        const val HISTOGRAM_DIGITS = 3
        const val LONGEST_GAP_MILLIS = 5_000
        const val SHORTEST_GAP_MILLIS = 500
        const val OUT_AND_IN = 2
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MICROSECOND = 1_000
        val SETTLE_LIMIT: Duration = 300.seconds
        val IN_FORCE_LIMIT: Duration = 60.seconds
    }
}
