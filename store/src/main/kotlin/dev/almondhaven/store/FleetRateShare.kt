package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Computes the share of the platform's rate limit that one process of a fleet may use. The share is based on the
 * largest fleet size seen in the last one to two periods, so that the two sides of a network partition don't each use
 * the whole limit.
 */
public class FleetRateShare(
    private val clock: NanoClock,
    private val period: Duration = 1.hours,
    private val fleetSize: () -> Int,
) {
    private var periodStart = clock.nanos()
    private var previousPeakSize = 1
    private var peakSize = 1

    /** Returns this process's share of [total] calls per second. */
    @Synchronized
    public fun of(total: Double): Double {
        if (clock.elapsed(periodStart) >= period) {
            previousPeakSize = peakSize
            peakSize = 1
            periodStart = clock.nanos()
        }
        peakSize = maxOf(peakSize, fleetSize())
        return total / maxOf(peakSize, previousPeakSize)
    }
}
