package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What one router knows of one endpoint: its own requests in flight exactly, the newest load report, health and the
 * limit in force. Any thread may read, [tryAcquire] and [release]; a [limit] and reports are set by one duty thread.
 */
public class EndpointState(
    public val endpoint: Endpoint,
    group: EjectionGroup,
) {
    private val inFlight = AtomicInteger()

    /** Circuit breaker of the endpoint. */
    public val health: EndpointHealth = EndpointHealth(group)

    /** Own requests that may be in flight at once. */
    @Volatile
    public var limit: Int = 0
        internal set

    /** Whether the endpoint is being ramped. */
    @Volatile
    public var isCold: Boolean = true
        internal set

    @Volatile
    private var received: ReceivedReport? = null

    /** Own requests in flight. */
    public val ownInFlight: Int get() = inFlight.get()

    /** Slots by the newest report, or by the catalogue. */
    public val slots: Int get() = maxOf(1, received?.report?.slots ?: endpoint.slots)

    internal val report: LoadReport? get() = received?.report

    /** Requests of other routers by the newest report; null without one. */
    internal val othersReported: Int? get() = received?.others

    /** Takes a slot and, if the endpoint is ejected, its probe; false when there is neither. */
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

    /** Gives a slot back. */
    public fun release() {
        val left = inFlight.decrementAndGet()
        check(left >= 0) { "released more than acquired at ${endpoint.id}: $left" }
    }

    /**
     * Estimated requests per slot at the endpoint. Own requests count in full; those of other routers by the report,
     * which fades towards [averageOtherRequests], the pool's average, as it ages, so that a stale report of an idle endpoint
     * doesn't draw every router at once.
     */
    public fun load(
        now: Long,
        averageOtherRequests: Double,
    ): Double = (inFlight.get() + others(now, averageOtherRequests)) / slots

    private fun others(
        now: Long,
        averageOtherRequests: Double,
    ): Double {
        val held = received ?: return averageOtherRequests
        val age = maxOf(0, now - held.takenAt).toDouble() / FADING_NANOS
        val weight = exp(-age)
        return weight * held.others + (1 - weight) * averageOtherRequests
    }

    /** Takes a report that describes the endpoint at [takenAt]; older ones than held are ignored. */
    internal fun accept(
        report: LoadReport,
        takenAt: Long,
    ): Boolean {
        val held = received
        if (held != null && held.takenAt >= takenAt) return false
        received = ReceivedReport(report, takenAt, inFlight.get())
        return true
    }

    private companion object {
        val FADING: Duration = 2.seconds
        val FADING_NANOS: Double = FADING.toDouble(DurationUnit.NANOSECONDS)
    }
}
