package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The next call of a router to the platform. */
public enum class WatchCall {
    /** No call is due. */
    NONE,

    /** Read the head of the configuration. */
    READ,

    /** Long-poll for a change of the head after the last seen revision. */
    WATCH,
}

/**
 * Schedules a router's calls to the platform for the configuration: routers selected by the [plan] watch, the others
 * poll. Failed calls are retried with full jitter, and a rate limit bounds the calls of one process in every case.
 */
public class WatchSchedule(
    private val plan: WatchPlan,
    random: UniformRandomProvider,
    now: Long,
) {
    private val retryDelay = RetryDelay(INITIAL_RETRY_BOUND, MAX_RETRY_BOUND, random)
    private val callLimiter = CallRateLimiter(CALLS_PER_SECOND, CALL_BURST, now)
    private var lastMembers: List<Member>? = null
    private var isWatcher = false
    private var headRead = false
    private var retryAt = now
    private var pollAt = now

    /** The call to make at [now], which is charged to the rate limit. */
    public fun next(
        now: Long,
        view: FleetView,
    ): WatchCall {
        val watches = watches(view)
        val due = now >= retryAt && (watches || now >= pollAt)
        return when {
            !due || !callLimiter.tryAcquire(now) -> WatchCall.NONE
            watches && headRead -> WatchCall.WATCH
            else -> WatchCall.READ
        }
    }

    private fun watches(view: FleetView): Boolean {
        val members = view.members
        if (members !== lastMembers) {
            lastMembers = members
            isWatcher = plan.watches(view)
        }
        return isWatcher
    }

    /** Reports that the last call was answered; [stale] tells whether the configuration in force is stale. */
    public fun succeeded(
        now: Long,
        members: Int,
        stale: Boolean,
    ) {
        headRead = true
        retryDelay.reset()
        val interval = if (stale) STALE_POLL_INTERVAL else plan.pollInterval(members)
        pollAt = now + retryDelay.uniformDelay(interval * 2).inWholeNanoseconds
    }

    /** Reports that the last call failed; the next call reads the head again. */
    public fun failed(now: Long) {
        headRead = false
        retryAt = now + retryDelay.nextDelay().inWholeNanoseconds
    }

    private companion object {
        const val CALLS_PER_SECOND = 2.0
        const val CALL_BURST = 10
        val INITIAL_RETRY_BOUND: Duration = 500.milliseconds
        val MAX_RETRY_BOUND: Duration = 10.seconds
        val STALE_POLL_INTERVAL: Duration = 15.seconds
    }
}
