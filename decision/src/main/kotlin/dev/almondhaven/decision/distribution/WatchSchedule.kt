package dev.almondhaven.decision.distribution

import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a router asks the platform for next. */
public enum class WatchCall {
    /** Nothing is due. */
    NONE,

    /** Read the head. */
    READ,

    /** Wait for a change of the head after the revision last seen. */
    WATCH,
}

/**
 * When a router calls the platform for the configuration: routers that the [plan] names watch, the others read now and
 * then. Failures are retried with full jitter, and a budget bounds the calls of one process whatever happens.
 */
public class WatchSchedule(
    private val plan: WatchPlan,
    random: UniformRandomProvider,
    now: Long,
) {
    private val retryDelay = RetryDelay(FIRST_RETRY, LONGEST_RETRY, random)
    private val callLimiter = CallRateLimiter(CALLS_PER_SECOND, CALL_BURST, now)
    private var chosenAmong: List<Member>? = null
    private var chosen = false
    private var hasRead = false
    private var retryAt = now
    private var pollAt = now

    /** The call to make at [now]; it counts as made. */
    public fun next(
        now: Long,
        view: FleetView,
    ): WatchCall {
        val watches = watches(view)
        val due = now >= retryAt && (watches || now >= pollAt)
        return when {
            !due || !callLimiter.tryAcquire(now) -> WatchCall.NONE
            watches && hasRead -> WatchCall.WATCH
            else -> WatchCall.READ
        }
    }

    private fun watches(view: FleetView): Boolean {
        val members = view.members
        if (members !== chosenAmong) {
            chosenAmong = members
            chosen = plan.watches(view)
        }
        return chosen
    }

    /** The last call was answered; [stale] tells whether the configuration in force is unconfirmed. */
    public fun succeeded(
        now: Long,
        members: Int,
        stale: Boolean,
    ) {
        hasRead = true
        retryDelay.reset()
        val interval = if (stale) STALE_POLL else plan.pollInterval(members)
        pollAt = now + retryDelay.uniformDelay(interval * 2).inWholeNanoseconds
    }

    /** The last call failed, so the head has to be read anew. */
    public fun failed(now: Long) {
        hasRead = false
        retryAt = now + retryDelay.nextDelay().inWholeNanoseconds
    }

    private companion object {
        const val CALLS_PER_SECOND = 2.0
        const val CALL_BURST = 10
        val FIRST_RETRY: Duration = 500.milliseconds
        val LONGEST_RETRY: Duration = 10.seconds
        val STALE_POLL: Duration = 15.seconds
    }
}
