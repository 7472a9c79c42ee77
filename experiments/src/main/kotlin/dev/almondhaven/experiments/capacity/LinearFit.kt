package dev.almondhaven.experiments.capacity

import dev.almondhaven.experiments.PlotPoint
import org.apache.commons.math3.stat.regression.SimpleRegression

/** A line fitted to measured points, for extrapolation to fleet sizes that do not fit on one machine. */
public class LinearFit private constructor(
    public val slope: Double,
    public val intercept: Double,
    public val rSquared: Double,
) {
    /** The value of the line at [x]. */
    public fun valueAt(x: Double): Double = intercept + slope * x

    public companion object {
        /** Fits a line to at least three [points] by least squares; [rSquared] is the coefficient of determination. */
        public fun leastSquares(points: List<PlotPoint>): LinearFit {
            require(points.size >= 3) { "a linear fit needs at least three points, got $points" }
            val regression = SimpleRegression()
            points.forEach { regression.addData(it.x, it.y) }
            return LinearFit(regression.slope, regression.intercept, regression.rSquare)
        }
    }
}
