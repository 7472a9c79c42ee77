package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/**
 * How much of a service's traffic goes to a new version, and when the move is complete.
 *
 * A small constant part of the sessions tries the new version for the first half of the time: the operator forbids moving
 * running sessions then, and a bad version must get few requests. If nothing speaks against it the part grows to all, early
 * enough that what runs at the old endpoints ends before they are stopped.
 *
 * @property timeLimit time that the operator gives the move.
 */
public class RollOutSchedule(
    private val timeLimit: Duration,
) {
    init {
        require(timeLimit.isPositive()) { "timeLimit must be positive, got $timeLimit" }
    }

    /** Part of the sessions that go to the new version after [elapsed], from 0 to 1. */
    public fun share(elapsed: Duration): Double {
        val passed = elapsed / timeLimit
        return when {
            passed < GROWTH_BEGINS -> {
                TRIAL_SHARE
            }

            passed < GROWTH_ENDS -> {
                TRIAL_SHARE +
                    (1 - TRIAL_SHARE) * (passed - GROWTH_BEGINS) / (GROWTH_ENDS - GROWTH_BEGINS)
            }

            else -> {
                1.0
            }
        }
    }

    /** Whether sessions may change to the new version after [elapsed]. */
    public fun allowsSessionMoves(elapsed: Duration): Boolean = elapsed / timeLimit >= GROWTH_BEGINS

    /** Whether the old endpoints are no longer needed after [elapsed]. */
    public fun isComplete(elapsed: Duration): Boolean = elapsed / timeLimit >= COMPLETE

    private companion object {
        /** Enough requests to find a version that fails often, well below what a bad one may get. */
        const val TRIAL_SHARE = 0.08
        const val GROWTH_BEGINS = 0.52
        const val GROWTH_ENDS = 0.66

        /** Streams that began at an old endpoint have ended by then. */
        const val COMPLETE = 0.9
    }
}
