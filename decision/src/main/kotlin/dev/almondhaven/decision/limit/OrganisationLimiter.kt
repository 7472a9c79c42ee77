package dev.almondhaven.decision.limit

import dev.almondhaven.catalogue.OrganisationLimits
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** The usage of an organisation: requests in flight and tokens per minute. */
public data class OrganisationUsage(
    public val inFlight: Double,
    public val tokensPerMinute: Double,
) {
    public operator fun plus(other: OrganisationUsage): OrganisationUsage =
        OrganisationUsage(
            inFlight + other.inFlight,
            tokensPerMinute + other.tokensPerMinute,
        )

    public companion object {
        public val NONE: OrganisationUsage = OrganisationUsage(0.0, 0.0)
    }
}

/**
 * Tracks one organisation's usage on this router and enforces this router's share of the organisation's limits. Any
 * thread may start and end requests; only one thread may call [refresh].
 */
public class OrganisationLimiter(
    limits: OrganisationLimits,
    routers: Int,
    now: Long,
) {
    private val inFlight = AtomicInteger()
    private val tokensSinceRefresh = AtomicLong()
    private val bucket = TokenBucket(limits.tokensPerMinute.toDouble() / routers, now)
    private var refreshedAt = now
    private var tokensPerMinute = 0.0

    /** Number of requests that may be in flight on this router. */
    @Volatile
    public var concurrencyAllowance: Int =
        concurrencyShare(limits.concurrency, OrganisationUsage.NONE, OrganisationUsage.NONE, routers)
        private set

    /** The usage to report to other routers; changes only in [refresh]. */
    @Volatile
    public var reportedUsage: OrganisationUsage = OrganisationUsage.NONE
        private set

    /** Number of requests in flight. */
    public val running: Int get() = inFlight.get()

    /** Counts the start of a request; false if [concurrencyAllowance] is used up. */
    public fun tryStart(): Boolean {
        if (inFlight.incrementAndGet() <= concurrencyAllowance) return true
        inFlight.decrementAndGet()
        return false
    }

    /** Counts the end of a request. */
    public fun end() {
        val left = inFlight.decrementAndGet()
        check(left >= 0) { "more requests ended than started: $left" }
    }

    /** Reserves [tokens] and returns null, or returns the time to wait if the token rate is used up. */
    public fun reserve(tokens: Long): Duration? = bucket.reserve(tokens)

    /** Settles a reservation of [reserved] tokens when [used] tokens were consumed. */
    public fun settle(
        reserved: Long,
        used: Long,
    ) {
        bucket.settle(reserved, used)
        tokensSinceRefresh.addAndGet(used)
    }

    /** Recomputes this router's shares; [others] is the total usage that the other routers reported. */
    public fun refresh(
        limits: OrganisationLimits,
        others: OrganisationUsage,
        routers: Int,
        now: Long,
    ) {
        measureTokens(now)
        reportedUsage = OrganisationUsage(inFlight.get().toDouble(), tokensPerMinute)
        val fleet = reportedUsage + others
        concurrencyAllowance = concurrencyShare(limits.concurrency, reportedUsage, fleet, routers)
        val rate =
            UsageBasedShare.of(
                limits.tokensPerMinute.toDouble(),
                tokensPerMinute,
                fleet.tokensPerMinute,
                routers,
            )
        bucket.refill(rate, now)
    }

    private fun measureTokens(now: Long) {
        val minutes = (now - refreshedAt) / NANOS_PER_MINUTE
        if (minutes <= 0) return
        val currentRate = tokensSinceRefresh.getAndSet(0) / minutes
        val weight = minOf(1.0, minutes / SMOOTHING_MINUTES)
        tokensPerMinute += (currentRate - tokensPerMinute) * weight
        refreshedAt = now
    }

    private fun concurrencyShare(
        limit: Int,
        own: OrganisationUsage,
        fleet: OrganisationUsage,
        routers: Int,
    ): Int = UsageBasedShare.of(limit.toDouble(), own.inFlight, fleet.inFlight, routers).toInt()

    private companion object {
        const val NANOS_PER_MINUTE = 60e9
        const val SMOOTHING_MINUTES = 5.0 / 60
    }
}
