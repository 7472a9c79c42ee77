package dev.almondhaven.experiments

import org.jfree.chart.ChartFactory
import org.jfree.chart.plot.XYPlot
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer
import org.jfree.data.xy.XYSeries
import org.jfree.data.xy.XYSeriesCollection
import org.jfree.svg.SVGGraphics2D
import org.jfree.svg.SVGUtils
import java.awt.Rectangle
import java.io.File

/** Draws series of points as lines with markers. */
internal object LinePlot {
    private const val WIDTH = 720
    private const val HEIGHT = 420

    fun write(
        file: File,
        title: String,
        xLabel: String,
        yLabel: String,
        series: List<PlotSeries>,
    ) {
        val data = XYSeriesCollection()
        series.forEach { data.addSeries(xySeries(it)) }
        val chart = ChartFactory.createXYLineChart(title, xLabel, yLabel, data)
        (chart.plot as XYPlot).renderer = XYLineAndShapeRenderer(true, true)
        val graphics = SVGGraphics2D(WIDTH.toDouble(), HEIGHT.toDouble())
        chart.draw(graphics, Rectangle(WIDTH, HEIGHT))
        SVGUtils.writeToSVG(file, graphics.svgElement)
    }

    private fun xySeries(series: PlotSeries): XYSeries {
        val result = XYSeries(series.name, false, true)
        series.points.forEach { result.add(it.x, it.y) }
        return result
    }
}
