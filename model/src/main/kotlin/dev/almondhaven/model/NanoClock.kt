package dev.almondhaven.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A monotonic clock in nanoseconds. Code that depends on time takes it as a parameter, so that tests control the time.
 *
 * ```
 * var now = 0L
 * val clock = NanoClock { now }
 * ```
 */
public fun interface NanoClock {
    /** Nanoseconds since an arbitrary origin; never decreases. */
    public fun nanos(): Long

    /** Time since [since], an earlier value of [nanos]. */
    public fun elapsed(since: Long): Duration = (nanos() - since).nanoseconds

    public companion object {
        /** The monotonic clock of the JVM. */
        public val SYSTEM: NanoClock = NanoClock { System.nanoTime() }
    }
}
