package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Which routers watch the platform for configurations, and how often the others ask.
 *
 * @property fullWatchFleetSize fleet size up to which every router watches.
 * @property watchersPerDomain watchers in each failure domain of a larger fleet.
 * @property pollsPerSecond calls that the routers that don't watch make together.
 * @property minPollInterval least time between two calls of one router that doesn't watch.
 */
public data class WatchPlan(
    public val fullWatchFleetSize: Int = 8,
    public val watchersPerDomain: Int = 2,
    public val pollsPerSecond: Double = 0.5,
    public val minPollInterval: Duration = 10.seconds,
) {
    /** Whether the router whose view is [view] watches. Routers with unlike views may choose unlike watchers. */
    public fun watches(view: FleetView): Boolean {
        if (view.members.size <= fullWatchFleetSize) return true
        val domain = view.membersOf(view.self.failureDomain)
        return view.self in RendezvousHash.choose(KEY, domain, watchersPerDomain) { it.id.value }
    }

    /** Mean time between two calls of a router that doesn't watch, in a fleet of [members]. */
    public fun pollInterval(members: Int): Duration = maxOf(minPollInterval, (members / pollsPerSecond).seconds)

    private companion object {
        const val KEY = "configuration-watch"
    }
}
