package dev.almondhaven.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A monotonic clock in nanoseconds. Decisions take it as a parameter, so that tests drive time by hand.
 *
 * ```
 * var now = 0L
 * val clock = NanoClock { now }
 * ```
 */
public fun interface NanoClock {
    /** Nanoseconds since an arbitrary origin; never goes back. */
    public fun nanos(): Long

    /** How long ago [since], an earlier value of [nanos], was. */
    public fun elapsed(since: Long): Duration = (nanos() - since).nanoseconds

    public companion object {
        /** The process's own monotonic clock. */
        public val SYSTEM: NanoClock = NanoClock { System.nanoTime() }
    }
}
