package dev.almondhaven.decision.distribution

/** A token bucket that limits how often one process calls the platform. */
public class CallRateLimiter(
    private val perSecond: Double,
    private val burst: Int,
    now: Long,
) {
    private var tokens = burst.toDouble()
    private var refilledAt = now

    /** Takes a token for a call at [now]; false if none is left. */
    public fun tryAcquire(now: Long): Boolean {
        tokens = minOf(burst.toDouble(), tokens + (now - refilledAt) * perSecond / NANOS_PER_SECOND)
        refilledAt = now
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
