package dev.almondhaven.decision.endpoint

import dev.almondhaven.decision.limit.RecentMinimumShare
import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Sets the limit of one endpoint: this router's part of the fleet's ramp while the endpoint is cold, and an adaptive
 * limit thereafter. Belongs to one duty thread.
 */
public class EndpointLimiter(
    public val state: EndpointState,
    self: RouterId,
    private val slowStart: SlowStart = SlowStart(),
) {
    private val adaptive = AdaptiveLimit(state.slots * WARM_QUEUE_FACTOR)
    private val latency = LatencyTracker()
    private val settled = RecentMinimumShare(state.endpoint.id.value, self)
    private var startedAt: Long? = null
    private var suspectedAt: Long? = null
    private var returnedAt: Long? = null
    private var reportless = false

    /** Takes a load report that describes the endpoint at [takenAt]; true when it turned cold by it. */
    public fun acceptReport(
        report: LoadReport,
        takenAt: Long,
    ): Boolean {
        val previous = state.report
        if (!state.accept(report, takenAt)) return false
        reportless = false
        // A report from before the connections broke says nothing about what came after.
        if (takenAt >= (suspectedAt ?: takenAt)) suspectedAt = null
        adaptive.setMaximum(state.slots * WARM_QUEUE_FACTOR)
        val restarted = previous == null || previous.startId != report.startId
        if (!restarted) return false
        startedAt = takenAt - (report.uptime?.inWholeNanoseconds ?: 0)
        return previous != null
    }

    /** Notes that the endpoint answers but reports no load; it is then held to the adaptive limit alone. */
    public fun recordNoLoadReport() {
        if (state.report == null) reportless = true
    }

    /** Notes a good answer whose first token took [firstToken]; true when latency shows that the endpoint is cold. */
    public fun recordSuccess(
        firstToken: Duration,
        now: Long,
    ): Boolean {
        adaptive.recordSuccess()
        val collapsed = latency.record(firstToken) && !state.isCold && !queueing()
        if (collapsed) {
            startedAt = now
            state.isCold = true
        }
        return collapsed
    }

    /** Notes that the endpoint said it is overloaded. */
    public fun recordOverload(now: Long): Unit = adaptive.recordOverload(now)

    /** Notes that connections to the endpoint broke: until a report says otherwise it counts as restarted. */
    public fun recordConnectionLost(now: Long) {
        if (!reportless) suspectedAt = now
    }

    /** Notes that the endpoint's failure domain came back in service at [since]; it is ramped whatever it reports. */
    public fun recordDomainReturned(since: Long) {
        returnedAt = since
    }

    /** Sets the limit for [now]; [sharers] are the routers that may send to the endpoint while it is cold. */
    public fun update(
        now: Long,
        sharers: List<RouterId>,
    ) {
        val fleetLimit = coldLimit(now)
        state.isCold = fleetLimit != null
        state.limit = if (fleetLimit == null) adaptive.limit else settled.of(fleetLimit, sharers, now)
    }

    private fun coldLimit(now: Long): Int? {
        if (reportless && returnedAt == null) return null
        if (!reportless && startedAt == null) return slowStart.initialLimit
        val start = listOfNotNull(startedAt, suspectedAt, returnedAt).max()
        return slowStart.fleetLimit(state.slots, (now - start).nanoseconds)
    }

    private fun queueing(): Boolean = (state.report?.waiting ?: 0) > 0

    private companion object {
        /** Own requests at a warm endpoint, as a multiple of its slots, so that its batch never runs dry. */
        const val WARM_QUEUE_FACTOR = 2
    }
}
