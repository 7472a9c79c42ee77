package dev.almondhaven.router.filter

import java.util.concurrent.atomic.AtomicLong

/** An exponentially smoothed duration that any thread may update. */
internal class MovingAverageNanos {
    private val smoothed = AtomicLong()

    /** The smoothed value; 0 before the first one. */
    val nanos: Long get() = smoothed.get()

    /** Takes one measured value. */
    fun record(nanos: Long) {
        smoothed.updateAndGet { if (it == 0L) nanos else it + (nanos - it) / WEIGHT_DIVISOR }
    }

    private companion object {
        const val WEIGHT_DIVISOR = 16
    }
}
