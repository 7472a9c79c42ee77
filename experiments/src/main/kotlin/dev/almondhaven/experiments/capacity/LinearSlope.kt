package dev.almondhaven.experiments.capacity

import dev.almondhaven.experiments.PlotPoint
import org.apache.commons.math3.stat.regression.SimpleRegression

/** A straight line through measured points, for extrapolating to sizes that one machine can't hold. */
public class LinearSlope private constructor(
    public val perUnit: Double,
    public val atZero: Double,
    public val fit: Double,
) {
    /** The value at [size]. */
    public fun at(size: Double): Double = atZero + perUnit * size

    public companion object {
        /** Least-squares line through at least three [points]; [fit] is its coefficient of determination. */
        public fun through(points: List<PlotPoint>): LinearSlope {
            require(points.size >= 3) { "a slope needs three sizes or more, got $points" }
            val regression = SimpleRegression()
            points.forEach { regression.addData(it.x, it.y) }
            return LinearSlope(regression.slope, regression.intercept, regression.rSquare)
        }
    }
}
