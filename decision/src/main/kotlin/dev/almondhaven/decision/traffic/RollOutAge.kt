package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Time since a roll-out was ordered, as far as a router can tell.
 *
 * A router may hear of an order long after it was given, because it has just started, was cut off or was suspended. All
 * that it learns is a lower bound of the order's age: the time since it heard of the order itself, the age that another
 * router states, and the age that is stored with the order. Each bound grows with the router's monotonic clock, and the
 * largest one holds.
 *
 * A stored age may be out of date by the time between two stored ages. While nothing else is known of an order that was
 * stored with an age, [position] therefore assumes the most that the schedule may have moved since. Not thread-safe.
 *
 * @param heardAt monotonic time in nanoseconds at which the router heard of the order.
 * @param stored age that was stored with the order then; zero if none was.
 */
public class RollOutAge(
    private val schedule: RollOutSchedule,
    heardAt: Long,
    stored: Duration,
) {
    init {
        require(!stored.isNegative()) { "stored must not be negative, got $stored" }
    }

    private var startedAt = heardAt - stored.inWholeNanoseconds

    /** Whether only a stored age tells how far the roll-out has come. */
    public var isProvisional: Boolean = stored.isPositive()
        private set

    /** Time since the order that has certainly passed at [now]. */
    public fun elapsed(now: Long): Duration = (now - startedAt).nanoseconds

    /** Time at which the schedule is to be read at [now]: late enough that no session that has moved goes back. */
    public fun position(now: Long): Duration = if (isProvisional) schedule.latestSince(elapsed(now)) else elapsed(now)

    /** Applies that [age] had passed at [now]; returns by how much the age known was too low, zero if it was not. */
    public fun recordAtLeast(
        age: Duration,
        now: Long,
    ): Duration {
        val gain = age - elapsed(now)
        if (!gain.isPositive()) return Duration.ZERO
        startedAt = now - age.inWholeNanoseconds
        return gain
    }

    /** Applies the answer of a router that has followed the roll-out: [age] had passed at [now]. */
    public fun confirm(
        age: Duration,
        now: Long,
    ): Duration {
        isProvisional = false
        return recordAtLeast(age, now)
    }

    /** Takes [position] for the age, since no router has followed the roll-out. */
    public fun assumePosition(now: Long): Duration = confirm(position(now), now)
}
