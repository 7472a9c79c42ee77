package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * One router's state of one endpoint: the exact number of the router's own requests in flight, the newest load
 * report, health, and the concurrency limit. Any thread may read, [tryAcquire] and [release]. A single thread sets
 * the [limit] and accepts load reports.
 */
public class EndpointState(
    public val endpoint: Endpoint,
    group: EjectionGroup,
) {
    private val inFlight = AtomicInteger()

    /** Circuit breaker of the endpoint. */
    public val health: EndpointHealth = EndpointHealth(group)

    /** Maximum of this router's requests in flight. */
    @Volatile
    public var limit: Int = 0
        internal set

    /** Whether the endpoint is in slow start. */
    @Volatile
    public var isCold: Boolean = true
        internal set

    @Volatile
    private var latestReport: ReceivedReport? = null

    /** This router's requests in flight. */
    public val ownInFlight: Int get() = inFlight.get()

    /** Slots according to the newest load report, or to the catalogue without a report. */
    public val slots: Int get() = maxOf(1, latestReport?.report?.slots ?: endpoint.slots)

    internal val report: LoadReport? get() = latestReport?.report

    /** Requests of other routers according to the newest load report; null without a report. */
    internal val othersReported: Int? get() = latestReport?.others

    /** Acquires a slot and, if the endpoint is ejected, its probe; false if either is unavailable. */
    public fun tryAcquire(now: Long): Boolean {
        if (health.refuses(now)) return false
        while (true) {
            val held = inFlight.get()
            if (held >= limit) return false
            if (inFlight.compareAndSet(held, held + 1)) break
        }
        if (health.tryUse(now)) return true
        inFlight.decrementAndGet()
        return false
    }

    /** Releases a slot. */
    public fun release() {
        val left = inFlight.decrementAndGet()
        check(left >= 0) { "released more than acquired at ${endpoint.id}: $left" }
    }

    /**
     * Estimated requests per slot at the endpoint. The router's own requests count exactly. Those of other routers
     * come from the load report, whose weight decays with its age in favour of the pool's [averageOtherRequests];
     * otherwise a stale report of an idle endpoint would attract the requests of every router at once.
     */
    public fun load(
        now: Long,
        averageOtherRequests: Double,
    ): Double = (inFlight.get() + otherRequests(now, averageOtherRequests)) / slots

    private fun otherRequests(
        now: Long,
        averageOtherRequests: Double,
    ): Double {
        val held = latestReport ?: return averageOtherRequests
        val ageInTimeConstants = maxOf(0, now - held.takenAt).toDouble() / REPORT_DECAY_NANOS
        val weight = exp(-ageInTimeConstants)
        return weight * held.others + (1 - weight) * averageOtherRequests
    }

    /** Stores a report that describes the endpoint at [takenAt]; returns false if the stored one is at least as new. */
    internal fun accept(
        report: LoadReport,
        takenAt: Long,
    ): Boolean {
        val held = latestReport
        if (held != null && held.takenAt >= takenAt) return false
        latestReport = ReceivedReport(report, takenAt, inFlight.get())
        return true
    }

    private companion object {
        /** Time constant with which the weight of a load report decays. */
        val REPORT_DECAY: Duration = 2.seconds
        val REPORT_DECAY_NANOS: Double = REPORT_DECAY.toDouble(DurationUnit.NANOSECONDS)
    }
}
