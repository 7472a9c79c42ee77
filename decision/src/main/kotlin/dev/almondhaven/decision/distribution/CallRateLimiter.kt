package dev.almondhaven.decision.distribution

/** A token bucket that bounds how often one process calls the platform. */
public class CallRateLimiter(
    private val perSecond: Double,
    private val burst: Int,
    now: Long,
) {
    private var tokens = burst.toDouble()
    private var filledAt = now

    /** Whether a call may be made at [now]; counts it if so. */
    public fun tryAcquire(now: Long): Boolean {
        tokens = minOf(burst.toDouble(), tokens + (now - filledAt) * perSecond / NANOS_PER_SECOND)
        filledAt = now
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
