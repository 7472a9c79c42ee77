package dev.almondhaven.decision.limit

import dev.almondhaven.catalogue.OrganisationLimits
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * What an organisation uses: requests in flight and tokens per minute.
 */
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
 * One organisation's use of this router and the router's part of the organisation's limits. Any thread may start and
 * end requests; one thread calls [refresh].
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

    /** Requests that may be in flight on this router. */
    @Volatile
    public var concurrencyAllowance: Int =
        partOf(limits.concurrency, OrganisationUsage.NONE, OrganisationUsage.NONE, routers)
        private set

    /** The use to tell other routers; changes only in [refresh]. */
    @Volatile
    public var reportedUsage: OrganisationUsage = OrganisationUsage.NONE
        private set

    /** Requests in flight. */
    public val running: Int get() = inFlight.get()

    /** Counts a request in; false when the concurrencyAllowance is used up. */
    public fun tryStart(): Boolean {
        if (inFlight.incrementAndGet() <= concurrencyAllowance) return true
        inFlight.decrementAndGet()
        return false
    }

    /** Counts a request out. */
    public fun end() {
        val left = inFlight.decrementAndGet()
        check(left >= 0) { "more requests ended than started: $left" }
    }

    /** Reserves [tokens]; the time to wait when the rate is used up. */
    public fun reserve(tokens: Long): Duration? = bucket.reserve(tokens)

    /** Settles a reservation of [reserved] tokens of which [used] were. */
    public fun settle(
        reserved: Long,
        used: Long,
    ) {
        bucket.settle(reserved, used)
        tokensSinceRefresh.addAndGet(used)
    }

    /** Works out this router's part anew; [others] is what the other routers reportedUsage of their use. */
    public fun refresh(
        limits: OrganisationLimits,
        others: OrganisationUsage,
        routers: Int,
        now: Long,
    ) {
        measureTokens(now)
        reportedUsage = OrganisationUsage(inFlight.get().toDouble(), tokensPerMinute)
        val fleet = reportedUsage + others
        concurrencyAllowance = partOf(limits.concurrency, reportedUsage, fleet, routers)
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
        val passed = (now - refreshedAt) / NANOS_PER_MINUTE
        if (passed <= 0) return
        val current = tokensSinceRefresh.getAndSet(0) / passed
        val weight = minOf(1.0, passed / SMOOTHING_MINUTES)
        tokensPerMinute += (current - tokensPerMinute) * weight
        refreshedAt = now
    }

    private fun partOf(
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
