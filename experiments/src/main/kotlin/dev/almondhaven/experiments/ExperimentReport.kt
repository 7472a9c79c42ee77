package dev.almondhaven.experiments

import java.io.File
import java.util.Locale

/** A named series of points in a plot. */
public data class PlotSeries(
    public val name: String,
    public val points: List<PlotPoint>,
)

/** A point of a [PlotSeries]. */
public data class PlotPoint(
    public val x: Double,
    public val y: Double,
)

/**
 * Collects the results of an experiment in a Markdown page with tables, and writes plots as SVG files.
 *
 * ```
 * report.table("Time to in force", listOf("routers", "p99 ms"), listOf(listOf("5", "12.3")))
 * ```
 */
public class ExperimentReport(
    private val name: String,
    private val directory: File,
) {
    private val sections = mutableListOf<String>()

    /** Adds a paragraph. */
    public fun text(paragraph: String) {
        sections += paragraph
        println(paragraph)
    }

    /** Adds a table under a heading. */
    public fun table(
        title: String,
        columns: List<String>,
        rows: List<List<String>>,
    ) {
        rows.forEach { row ->
            require(row.size == columns.size) { "$title: ${columns.size} columns expected, got $row" }
        }
        val head = row(columns) + row(columns.map { "---" })
        val text = "## $title\n\n$head${rows.joinToString("") { row(it) }}".trimEnd()
        sections += text
        println(text)
    }

    /** Adds a plot, drawn to `docs/plots/NAME-[file].svg`. */
    public fun plot(
        file: String,
        title: String,
        xLabel: String,
        yLabel: String,
        series: List<PlotSeries>,
    ) {
        val plots = File(directory.parentFile, "plots").apply { mkdirs() }
        val target = File(plots, "$name-$file.svg")
        LinePlot.write(target, title, xLabel, yLabel, series)
        sections += "![$title](../plots/${target.name})"
    }

    /** Writes the Markdown page. */
    public fun write() {
        directory.mkdirs()
        val introduction = "# Measurement: $name\n\nRun again with `bin/measure $name`."
        File(directory, "$name.md").writeText((listOf(introduction) + sections).joinToString("\n\n", postfix = "\n"))
    }

    private fun row(cells: List<String>): String = cells.joinToString(" | ", "| ", " |\n")

    public companion object {
        /** Formats [value] with [digits] decimals, independently of the default locale. */
        public fun number(
            value: Double,
            digits: Int = 2,
        ): String = String.format(Locale.ROOT, "%.${digits}f", value)
    }
}
