package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which routers watch the platform for configuration changes by long polls, and how often the others poll.
 *
 * @property fullWatchFleetSize fleet size up to which every router watches.
 * @property watchersPerDomain number of watchers in each failure domain of a larger fleet.
 * @property pollsPerSecond combined poll rate of all routers that don't watch.
 * @property minPollInterval least mean time between two polls of a router that doesn't watch.
 */
public data class WatchPlan(
    public val fullWatchFleetSize: Int = 8,
    public val watchersPerDomain: Int = 2,
    public val pollsPerSecond: Double = 0.5,
    public val minPollInterval: Duration = 10.seconds,
) {
    /** Whether the router with [view] watches. Routers with different views may select different watchers. */
    public fun watches(view: FleetView): Boolean {
        if (view.members.size <= fullWatchFleetSize) return true
        val domain = view.membersOf(view.self.failureDomain)
        return view.self in RendezvousHash.choose(HASH_KEY, domain, watchersPerDomain) { it.id.value }
    }

    /** Mean time between two polls of a router that doesn't watch, in a fleet of [members]. */
    public fun pollInterval(members: Int): Duration = maxOf(minPollInterval, (members / pollsPerSecond).seconds)

    private companion object {
        const val HASH_KEY = "configuration-watch"
    }
}
