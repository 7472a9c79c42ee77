package dev.almondhaven.decision.limit

import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits [self] to the smallest share of a fleet-wide limit that it had in any view of the last [convergenceTime]. If a
 * membership change reaches every router within that time, routers with the old view and routers with the new one
 * together stay within the limit; a router that just joined adds at most its own share. Not thread-safe.
 */
public class RecentMinimumShare(
    private val key: String,
    private val self: RouterId,
    private val convergenceTime: Duration = DEFAULT_CONVERGENCE_TIME,
) {
    private data class EarlierView(
        val sharers: List<RouterId>,
        val until: Long,
    )

    private val earlierViews = ArrayDeque<EarlierView>()
    private var currentSharers: List<RouterId>? = null

    /** The share of [limit] to use at [now], when [sharers] are the routers that share it in the current view. */
    public fun of(
        limit: Int,
        sharers: List<RouterId>,
        now: Long,
    ): Int {
        val previous = currentSharers
        if (previous != null && previous != sharers) {
            earlierViews.addLast(EarlierView(previous, now + convergenceTime.inWholeNanoseconds))
        }
        currentSharers = sharers
        while (earlierViews.isNotEmpty() && earlierViews.first().until <= now) earlierViews.removeFirst()
        val share = FleetShare.of(key, limit, self, sharers)
        return earlierViews.minOfOrNull { FleetShare.of(key, limit, self, it.sharers) }?.coerceAtMost(share) ?: share
    }

    public companion object {
        private val DEFAULT_CONVERGENCE_TIME = 5.seconds
    }
}
