package dev.almondhaven.decision.limit

import dev.almondhaven.model.RouterId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps [self] at the smallest part of a fleet limit that any view of the last [settling] time gives it. When a change
 * of membership reaches every router within that time, the routers that already know of it and those that don't yet
 * stay within the limit together; a router that just joined adds at most its own part. Belongs to one thread.
 */
public class RecentMinimumShare(
    private val key: String,
    private val self: RouterId,
    private val settling: Duration = DEFAULT_SETTLING,
) {
    private data class Held(
        val sharers: List<RouterId>,
        val until: Long,
    )

    private val earlier = ArrayDeque<Held>()
    private var current: List<RouterId>? = null

    /** The part of [limit] to use [now], when [sharers] are held to be the routers that share it. */
    public fun of(
        limit: Int,
        sharers: List<RouterId>,
        now: Long,
    ): Int {
        val previous = current
        if (previous != null && previous != sharers) {
            earlier.addLast(Held(previous, now + settling.inWholeNanoseconds))
        }
        current = sharers
        while (earlier.isNotEmpty() && earlier.first().until <= now) earlier.removeFirst()
        val share = FleetShare.of(key, limit, self, sharers)
        return earlier.minOfOrNull { FleetShare.of(key, limit, self, it.sharers) }?.coerceAtMost(share) ?: share
    }

    public companion object {
        private val DEFAULT_SETTLING = 5.seconds
    }
}
