package dev.almondhaven.decision.endpoint

import dev.almondhaven.decision.limit.RecentMinimumShare
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Sets this router's concurrency limit at one endpoint: a share of the fleet-wide slow start while the endpoint is
 * cold, and an adaptive limit once it is warm. Confined to one thread.
 */
public class EndpointLimiter(
    public val state: EndpointState,
    self: RouterId,
    private val slowStart: SlowStart = SlowStart(),
) {
    private val adaptive = AdaptiveLimit(state.slots * REQUESTS_PER_SLOT)
    private val latency = LatencyTracker()
    private val coldShare = RecentMinimumShare(state.endpoint.id.value, self)
    private var startedAt: Long? = null
    private var connectionsLostAt: Long? = null
    private var domainReturnedAt: Long? = null
    private var offersNoReports = false

    /**
     * Takes a load report that describes the endpoint at [takenAt]; returns true if it shows that the endpoint
     * restarted.
     */
    public fun acceptReport(
        report: LoadReport,
        takenAt: Long,
    ): Boolean {
        val previous = state.report
        if (!state.accept(report, takenAt)) return false
        offersNoReports = false
        // A report from before the connections broke doesn't rule out a restart since then.
        if (takenAt >= (connectionsLostAt ?: takenAt)) connectionsLostAt = null
        adaptive.setMaximum(state.slots * REQUESTS_PER_SLOT)
        val restarted = previous == null || previous.startId != report.startId
        if (!restarted) return false
        startedAt = takenAt - (report.uptime?.inWholeNanoseconds ?: 0)
        return previous != null
    }

    /** Records that the endpoint answers but offers no load reports; the adaptive limit alone then applies. */
    public fun recordNoLoadReport() {
        if (state.report == null) offersNoReports = true
    }

    /**
     * Records a success with time to first token [firstToken]; returns true if latency shows that the endpoint turned
     * cold.
     */
    public fun recordSuccess(
        firstToken: Duration,
        now: Long,
    ): Boolean {
        adaptive.recordSuccess()
        val latencyCollapsed = latency.record(firstToken) && !state.isCold && !hasQueue()
        if (latencyCollapsed) {
            startedAt = now
            state.isCold = true
        }
        return latencyCollapsed
    }

    /** Records that the endpoint reported overload. */
    public fun recordOverload(now: Long): Unit = adaptive.recordOverload(now)

    /** Records that connections to the endpoint broke. It counts as restarted until a newer report shows otherwise. */
    public fun recordConnectionLost(now: Long) {
        if (!offersNoReports) connectionsLostAt = now
    }

    /**
     * Records that the endpoint's failure domain returned to service at [since]: slow start applies, whatever it
     * reports.
     */
    public fun recordDomainReturned(since: Long) {
        domainReturnedAt = since
    }

    /** Updates the limit at time [now]. [sharers] are the routers that may use the endpoint while it is cold. */
    public fun update(
        now: Long,
        sharers: List<RouterId>,
    ) {
        val fleetLimit = slowStartLimit(now)
        state.isCold = fleetLimit != null
        state.limit = if (fleetLimit == null) adaptive.limit else coldShare.of(fleetLimit, sharers, now)
    }

    private fun slowStartLimit(now: Long): Int? {
        if (offersNoReports && domainReturnedAt == null) return null
        if (!offersNoReports && startedAt == null) return slowStart.initialLimit
        val start = listOfNotNull(startedAt, connectionsLostAt, domainReturnedAt).max()
        return slowStart.fleetLimit(state.slots, (now - start).nanoseconds)
    }

    private fun hasQueue(): Boolean = (state.report?.waiting ?: 0) > 0

    private companion object {
        /** Maximum of own requests per slot of a warm endpoint; above 1 so that its batch never runs empty. */
        const val REQUESTS_PER_SLOT = 2
    }
}
