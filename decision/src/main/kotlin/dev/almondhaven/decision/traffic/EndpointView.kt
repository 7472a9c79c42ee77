package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.endpoint.EndpointHealth
import dev.almondhaven.traffic.EndpointListing
import dev.almondhaven.traffic.ReportedLoad
import org.apache.commons.rng.UniformRandomProvider

/**
 * What this router believes of one endpoint, from the platform's list and from its own requests. Not safe for use from
 * several threads.
 *
 * @property listing as last seen in the platform's list.
 * @property prefillSpeed shared by the endpoints of a service.
 */
public class EndpointView(
    listing: EndpointListing,
    group: EjectionGroup,
    memoryTokens: Long,
    public val prefillSpeed: PrefillSpeed,
    now: Long,
) {
    public var listing: EndpointListing = listing
        private set
    public val health: EndpointHealth = EndpointHealth(group)
    public val warmUp: WarmUpRateLimiter = WarmUpRateLimiter(now)
    public val prefixCache: PrefixCacheView = PrefixCacheView(memoryTokens)
    public val remotePrefills: RemotePrefills = RemotePrefills()

    public val failureRate: FailureRate = FailureRate()

    /** Requests sent and not ended. */
    public var inFlight: Int = 0
        private set

    /** Estimated milliseconds of reading that this router has sent and that has not ended. */
    public var readingMillis: Double = 0.0
        private set
    private var reported: ReportedLoad? = null
    private var reportedAt = now
    private var inFlightWhenReported = 0

    init {
        noteCold(listing, now)
    }

    /** Takes over what the endpoint says of itself now; a new start under the same id forgets what was cached. */
    public fun update(
        next: EndpointListing,
        now: Long,
    ) {
        if (next.bornMillis != listing.bornMillis) prefixCache.clear()
        listing = next
        noteCold(next, now)
    }

    private fun noteCold(
        listing: EndpointListing,
        now: Long,
    ) {
        if (listing.coldLeft.isPositive()) warmUp.extendTo(now + listing.coldLeft.inWholeNanoseconds)
    }

    public fun recordStart(reading: Double) {
        inFlight++
        readingMillis += reading
    }

    /** The first event has come: nothing is left to read. */
    public fun recordPrefillEnd(reading: Double) {
        readingMillis = (readingMillis - reading).coerceAtLeast(0.0)
    }

    public fun recordEnd() {
        inFlight--
    }

    /** Notes a good answer. */
    public fun recordSuccess(now: Long) {
        health.recordSuccess()
        failureRate.record(failed = false, now)
    }

    /** Notes a failure; true when it ejected the endpoint. */
    public fun recordFailure(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failureRate.record(failed = true, now)
        return health.recordFailure(now, random)
    }

    /** Notes that no connection could be opened; true when it ejected the endpoint. */
    public fun recordUnreachable(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failureRate.record(failed = true, now)
        return health.recordUnreachable(now, random)
    }

    /** Milliseconds of reading that wait at the endpoint, this router's and what others have announced. */
    public fun prefillBacklogMillis(now: Long): Double = readingMillis + remotePrefills.totalMillis(now)

    public fun recordLoad(
        load: ReportedLoad,
        now: Long,
    ) {
        reported = load
        reportedAt = now
        inFlightWhenReported = inFlight
    }

    /** Requests at the endpoint, other routers' too, as far as a report of less than [REPORT_LIFE_NANOS] tells. */
    public fun requests(now: Long): Int {
        val load = reported?.takeIf { now - reportedAt < REPORT_LIFE_NANOS } ?: return inFlight
        return maxOf(inFlight, load.running + load.waiting + inFlight - inFlightWhenReported)
    }

    /** Requests waiting at the endpoint at the last report. */
    public fun waiting(now: Long): Int = reported?.takeIf { now - reportedAt < REPORT_LIFE_NANOS }?.waiting ?: 0

    public companion object {
        /** An older report says nothing of requests that end within a second or two. */
        public const val REPORT_LIFE_NANOS: Long = 1_500_000_000
    }
}
