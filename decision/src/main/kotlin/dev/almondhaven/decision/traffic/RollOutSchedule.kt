package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Schedule by which a service's traffic shifts to a new version.
 *
 * During the first half of the time a small, constant share of the sessions runs on the new version as a canary: the
 * operator forbids moving running sessions then, and a bad version must get few requests. The canary begins when all
 * routers have heard of the order: a session that one of them still sends to the old version must not be on the new one
 * already. Unless the canary fails, the share then grows to all sessions, early enough that requests still running at
 * the old endpoints end before those are stopped.
 *
 * @property timeLimit time that the operator allows for the whole roll-out.
 */
public class RollOutSchedule(
    private val timeLimit: Duration,
) {
    init {
        require(timeLimit.isPositive()) { "timeLimit must be positive, got $timeLimit" }
    }

    private val canaryStart = minOf(CANARY_START, timeLimit * LATEST_CANARY_START)

    /** Share of the sessions that may run on the new version in the first half. */
    public val canaryShare: Double get() = CANARY_SHARE

    /** Share of the sessions that run on the new version after [elapsed], from 0 to 1. */
    public fun share(elapsed: Duration): Double {
        val progress = elapsed / timeLimit
        return when {
            elapsed < canaryStart -> {
                0.0
            }

            progress < RAMP_START -> {
                CANARY_SHARE
            }

            progress < RAMP_END -> {
                CANARY_SHARE +
                    (1 - CANARY_SHARE) * (progress - RAMP_START) / (RAMP_END - RAMP_START)
            }

            else -> {
                1.0
            }
        }
    }

    /** Whether sessions may move to the new version after [elapsed]. */
    public fun allowsSessionMoves(elapsed: Duration): Boolean = elapsed / timeLimit >= RAMP_START

    /** Whether the old endpoints are no longer needed after [elapsed]. */
    public fun isComplete(elapsed: Duration): Boolean = elapsed / timeLimit >= COMPLETION

    /**
     * The latest milestone that is reached after [elapsed]; zero if there is none. Milestones are worth storing: routers
     * that start later resume the roll-out there if no other router can tell them more.
     */
    public fun milestone(elapsed: Duration): Duration =
        MILESTONES.map { timeLimit * it }.lastOrNull { it <= elapsed } ?: Duration.ZERO

    /**
     * The latest time whose share of the sessions may have been reached before the milestone after [elapsed]: the end of
     * the time in which the share grows, if [elapsed] is within it.
     */
    public fun latestSince(elapsed: Duration): Duration =
        if (elapsed >= timeLimit * RAMP_START) maxOf(elapsed, timeLimit * RAMP_END) else elapsed

    private companion object {
        /** Gives enough requests to detect a version that fails often, and far fewer than a bad version may get. */
        const val CANARY_SHARE = 0.08

        /** All routers have heard of the order by then, and have announced which sessions run on the old version. */
        val CANARY_START = 500.milliseconds

        /** Fraction of the time limit after which the canary starts at the latest. */
        const val LATEST_CANARY_START = 0.05

        /** Fractions of the time limit between which the share grows to all sessions. */
        const val RAMP_START = 0.52
        const val RAMP_END = 0.66

        /** Fractions of the time limit; each one stored costs every router a call. */
        val MILESTONES = listOf(0.25, RAMP_START, RAMP_END)

        /** Fraction of the time limit after which streams that began at an old endpoint have ended. */
        const val COMPLETION = 0.9
    }
}
