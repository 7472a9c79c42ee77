package dev.almondhaven.experiments

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import java.io.File
import kotlin.system.exitProcess
import com.github.ajalt.clikt.parameters.arguments.default as defaultArgument

/** Entry point of `bin/measure`. */
public fun main(arguments: Array<String>) {
    MeasureCommand().main(arguments)
    exitProcess(0)
}

private class MeasureCommand : CliktCommand(name = "measure") {
    private val name by argument(help = "Name of the experiment, or 'all'.").defaultArgument(ALL)
    private val output by option(help = "Directory for the reports.").file(canBeFile = false).default(DEFAULT_OUTPUT)

    override fun help(context: Context): String =
        "Runs measurements and writes their reports.\n\n" +
            Experiments.ALL.joinToString("\n\n") { "- ${it.name}: ${it.about}" }

    override fun run() {
        val chosen = Experiments.ALL.filter { name == ALL || it.name == name }
        if (chosen.isEmpty()) throw UsageError("no experiment '$name'; see --help")
        chosen.forEach { experiment ->
            val report = ExperimentReport(experiment.name, output)
            experiment.run(report)
            report.write()
        }
    }

    private companion object {
        const val ALL = "all"
        val DEFAULT_OUTPUT = File("docs/measurements")
    }
}
