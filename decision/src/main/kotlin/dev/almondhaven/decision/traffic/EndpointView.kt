package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.endpoint.EndpointHealth
import dev.almondhaven.traffic.EndpointListing
import dev.almondhaven.traffic.ReportedLoad
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration.Companion.seconds

/**
 * This router's local view of one endpoint, built from the platform's endpoint list, the endpoint's load reports, the
 * router's own requests and the prefills that other routers announce. Not thread-safe.
 *
 * @property listing the endpoint's latest entry in the platform's list.
 * @property prefillSpeed estimate that all endpoints of a service share.
 * @param typicalPace the pace that all endpoints of a service share as a reference.
 * @param warmUpShare this router's current part of the rate that the endpoint bears while it is cold.
 * @param statedShare this router's current part of a rate that the endpoint states.
 * @param takesRequests whether the endpoint takes new requests: it is neither draining nor evacuated.
 */
public class EndpointView(
    listing: EndpointListing,
    group: EjectionGroup,
    kvCacheTokens: Long,
    public val prefillSpeed: PrefillSpeed,
    now: Long,
    typicalPace: TypicalPace = TypicalPace(),
    warmUpShare: () -> RateShare = { RateShare.UNLIMITED },
    statedShare: (perSecond: Double) -> RateShare = { RateShare(it, it, routers = 1, position = 0) },
    takesRequests: (EndpointListing) -> Boolean = { !it.leaving },
) {
    public var listing: EndpointListing = listing
        private set
    public val health: EndpointHealth = EndpointHealth(group, LONGEST_EJECTION) { takesRequests(this.listing) }
    public val warmUp: WarmUpRateLimiter = WarmUpRateLimiter(now, warmUpShare)
    public val rateLimit: StatedRateLimit = StatedRateLimit(now, statedShare)
    public val prefixCache: PrefixCacheView = PrefixCacheView(kvCacheTokens)
    public val remotePrefills: RemotePrefills = RemotePrefills()

    public val failureRate: FailureRate = FailureRate()
    public val speed: EndpointSpeed = EndpointSpeed(typicalPace)

    /** Requests of this router that were sent and have not ended. */
    public var inFlight: Int = 0
        private set

    /** Estimated milliseconds of prefill in the requests of this router that have not produced their first event. */
    public var ownPrefillMillis: Double = 0.0
        private set
    private var latestLoad: ReportedLoad? = null
    private var latestLoadAt = now
    private var inFlightAtLatestLoad = 0
    private var startSeenAt = now

    init {
        extendColdPeriod(listing, now)
    }

    /** Replaces the listing. A new start of the endpoint under the same id clears what the process before held and stated. */
    public fun update(
        newListing: EndpointListing,
        now: Long,
    ) {
        if (newListing.startedAtMillis != listing.startedAtMillis) {
            prefixCache.clear()
            rateLimit.clear()
            speed.clear()
            startSeenAt = now
        }
        listing = newListing
        extendColdPeriod(newListing, now)
    }

    private fun extendColdPeriod(
        listing: EndpointListing,
        now: Long,
    ) {
        if (listing.coldLeft.isPositive()) warmUp.extendTo(now + listing.coldLeft.inWholeNanoseconds, now)
    }

    /**
     * Records a request sent at [now], with an estimated prefill time of [prefillMillis]. The first one after an
     * ejection probes the endpoint.
     */
    public fun recordStart(
        prefillMillis: Double,
        now: Long,
    ) {
        health.tryUse(now)
        warmUp.recordSent(now)
        rateLimit.recordSent(now)
        inFlight++
        ownPrefillMillis += prefillMillis
    }

    /** Records the end of the prefill that was estimated at [prefillMillis], which the request's first event shows. */
    public fun recordPrefillEnd(prefillMillis: Double) {
        ownPrefillMillis = (ownPrefillMillis - prefillMillis).coerceAtLeast(0.0)
    }

    /** Records the end of a request, whatever its outcome. */
    public fun recordEnd(now: Long) {
        inFlight--
        health.releaseProbe(now)
    }

    /** Whether the endpoint is past the time in which it is slow because it has just started. */
    public fun isWarm(now: Long): Boolean = !warmUp.isCold(now) && now - startSeenAt >= WARM_UP_NANOS

    /** Whether a request sent at [now] would hardly wait for others. */
    public fun isUncontended(now: Long): Boolean =
        prefillBacklogMillis(now) < SHORT_BACKLOG_MILLIS && waiting(now) == 0 &&
            requests(now) * UNCONTENDED_SLOTS_DIVISOR <= listing.slots

    /** Estimated milliseconds that this endpoint takes to prefill [tokens] uncached tokens for [model]. */
    public fun prefillMillis(
        model: String,
        tokens: Int,
    ): Double = prefillSpeed.estimateMillis(model, tokens) * speed.slowness

    /** Records that a request with [tokens] uncached prompt tokens took [millis] to its first event. */
    public fun recordFirstEvent(
        model: String,
        tokens: Int,
        millis: Double,
    ): Unit = prefillSpeed.record(model, tokens, millis / speed.slowness)

    /** Records the pace of a stream of [model], unless the endpoint has just started. */
    public fun recordPace(
        model: String,
        millis: Double,
        now: Long,
    ) {
        if (isWarm(now)) speed.record(model, millis)
    }

    /** Records a successful response. */
    public fun recordSuccess(now: Long) {
        health.recordSuccess()
        failureRate.record(failed = false, now)
    }

    /** Records a failed request; returns true if it ejected the endpoint. */
    public fun recordFailure(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failureRate.record(failed = true, now)
        return health.recordFailure(now, random)
    }

    /** Records that the endpoint broke a connection of another router without an answer. */
    public fun recordAnnouncedFailure(now: Long): Unit = failureRate.record(failed = true, now)

    /** Records that another endpoint failed the same request too, so that its failure here was not this endpoint's own. */
    public fun retractFailure(now: Long) {
        failureRate.retractFailure(now)
        health.recordSuccess()
    }

    /** Records a failure to open a connection; returns true if it ejected the endpoint. */
    public fun recordUnreachable(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failureRate.record(failed = true, now)
        return health.recordUnreachable(now, random)
    }

    /** Estimated milliseconds of outstanding prefill, of this router's requests and of those that others announced. */
    public fun prefillBacklogMillis(now: Long): Double = ownPrefillMillis + remotePrefills.totalMillis(now)

    /** Records the load that the endpoint reported in a response. */
    public fun recordLoad(
        load: ReportedLoad,
        now: Long,
    ) {
        latestLoad = load
        latestLoadAt = now
        inFlightAtLatestLoad = inFlight
    }

    /**
     * Estimated requests at the endpoint, including those of other routers if the latest load report is younger than
     * [LOAD_REPORT_VALIDITY_NANOS].
     */
    public fun requests(now: Long): Int {
        val load = latestLoad?.takeIf { now - latestLoadAt < LOAD_REPORT_VALIDITY_NANOS } ?: return inFlight
        return maxOf(inFlight, load.running + load.waiting + inFlight - inFlightAtLatestLoad)
    }

    /** Requests queued at the endpoint according to the latest load report; 0 if that has expired. */
    public fun waiting(now: Long): Int =
        latestLoad?.takeIf { now - latestLoadAt < LOAD_REPORT_VALIDITY_NANOS }?.waiting ?: 0

    public companion object {
        /** Requests end within a second or two, so an older report no longer describes the endpoint's load. */
        public const val LOAD_REPORT_VALIDITY_NANOS: Long = 1_500_000_000

        /** About the time of one decode step of a busy engine. */
        private const val SHORT_BACKLOG_MILLIS = 20.0

        /** Decode steps hardly slow down while half of the slots are free. */
        private const val UNCONTENDED_SLOTS_DIVISOR = 2

        /** Engines have read the weights and the common prompt parts by then. */
        private val WARM_UP_NANOS = 4.seconds.inWholeNanoseconds

        /** An endpoint that can be reached again takes requests soon: its capacity is missed after a partition. */
        private val LONGEST_EJECTION = 3.seconds
    }
}
