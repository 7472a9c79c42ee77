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

/** Load of a fleet run: platform calls of the whole fleet, and messages, bytes and CPU time per router. */
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

    /** Starts the fleet and runs until it has converged; returns the time this took, or null past [SETTLE_LIMIT]. */
    fun startAndConverge(): Duration? {
        repeat(size) { fleet.start("domain-${it % domains}") }
        fleet.platform.publish(catalogue(Generation(1)))
        return fleet.runUntil(SETTLE_LIMIT, 1.seconds) { fleet.hasConverged() }
    }

    /** Runs for [span] and returns the cost. */
    fun measureCost(span: Duration): FleetCost = measureCost { fleet.run(span) }

    /** Runs for [span], publishing a note every [interval], and returns the cost. */
    fun measureCostOfPublishing(
        span: Duration,
        interval: Duration,
    ): FleetCost =
        measureCost {
            repeat((span / interval).toInt()) {
                publishOne()
                fleet.run(interval)
            }
        }

    /** Platform calls per second of virtual time while [action] runs. */
    fun callsDuring(action: () -> Unit): Double = measureCost(action).platformCallsPerSecond

    private fun measureCost(action: () -> Unit): FleetCost {
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
            SENT_AND_RECEIVED * (fleet.network.messages - messages) / seconds / size,
            SENT_AND_RECEIVED * (fleet.network.bodyBytes - bytes) / seconds / size,
            (threads.currentThreadCpuTime - cpu) / NANOS_PER_SECOND / seconds / size,
        )
    }

    /** Publishes a catalogue with the next generation. */
    fun publishOne() {
        fleet.platform.publish(
            catalogue(
                fleet.platform.head.generation
                    .next(),
            ),
        )
    }

    /** Publishes [count] notes and returns the times until each is in force on each router, in microseconds. */
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

    /** Starts or ends an outage of the platform. */
    fun setOutage(on: Boolean) {
        fleet.platform.outage = on
    }

    /** Stops [count] random routers without notice and starts new ones at their addresses. */
    fun restart(count: Int) {
        repeat(count) { fleet.restart(fleet.routers[fleet.random.nextInt(fleet.routers.size)]) }
    }

    /** Runs until the fleet has converged; returns the time this took, or null past [SETTLE_LIMIT]. */
    fun awaitConvergence(): Duration? = fleet.runUntil(SETTLE_LIMIT, 100.milliseconds) { fleet.hasConverged() }

    /** Runs for [span]. */
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
        const val SENT_AND_RECEIVED = 2
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MICROSECOND = 1_000
        val SETTLE_LIMIT: Duration = 300.seconds
        val IN_FORCE_LIMIT: Duration = 60.seconds
    }
}
