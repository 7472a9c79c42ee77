package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * The part of the platform's rate that one process of a fleet may use. It goes by the largest fleet seen in the last
 * one to two periods, so that the two halves of a fleet that lost each other don't both take the whole.
 */
public class FleetRateShare(
    private val clock: NanoClock,
    private val period: Duration = 1.hours,
    private val fleetSize: () -> Int,
) {
    private var periodStart = clock.nanos()
    private var previousPeak = 1
    private var peak = 1

    /** This process's part of [total] calls per second. */
    @Synchronized
    public fun of(total: Double): Double {
        if (clock.elapsed(periodStart) >= period) {
            previousPeak = peak
            peak = 1
            periodStart = clock.nanos()
        }
        peak = maxOf(peak, fleetSize())
        return total / maxOf(peak, previousPeak)
    }
}
