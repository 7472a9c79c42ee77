package dev.almondhaven.router.filter

import java.util.concurrent.atomic.AtomicLong

/** A thread-safe exponential moving average of durations in nanoseconds. */
internal class MovingAverageNanos {
    private val average = AtomicLong()

    /** The current average; 0 before the first sample. */
    val nanos: Long get() = average.get()

    /** Adds one sample. */
    fun record(nanos: Long) {
        average.updateAndGet { if (it == 0L) nanos else it + (nanos - it) / WEIGHT_DIVISOR }
    }

    private companion object {
        /** A new sample has a weight of 1/16. */
        const val WEIGHT_DIVISOR = 16
    }
}
