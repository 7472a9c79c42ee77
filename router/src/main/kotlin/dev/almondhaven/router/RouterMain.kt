package dev.almondhaven.router

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.settings.RouterSettings
import java.io.File

/** Entry point of the `almondhaven-router` binary. */
public fun main(arguments: Array<String>): Unit =
    RouterCommand()
        .subcommands(ServeCommand(), CheckSettingsCommand())
        .main(arguments)

private class RouterCommand : CliktCommand(name = "almondhaven-router") {
    override fun help(context: Context): String = "The router daemon of an entry VM."

    override fun run(): Unit = Unit
}

private class ServeCommand : CliktCommand(name = "serve") {
    private val settings by option(help = "Settings file in YAML.").file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context): String = "Serves callers until SIGTERM, then drains and stops."

    override fun run() {
        val router = Router.start(readSettings(settings))
        Runtime.getRuntime().addShutdownHook(Thread({ router.drain() }, "shutdown"))
        router.join()
    }
}

private class CheckSettingsCommand : CliktCommand(name = "check-settings") {
    private val file by argument(help = "Settings file in YAML.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Checks a settings file and lists every problem in it."

    override fun run() {
        readSettings(file)
        echo("${file.path}: no problems")
    }
}

private fun readSettings(file: File): RouterSettings =
    RouterSettings.parse(file.readText()).fold(
        { problems ->
            val code = ResultCode.INVALID_SETTINGS
            val lines = problems.joinToString("\n") { "  $it" }
            throw CliktError(
                "${code.number} ${code.name.lowercase()}: ${file.path}\n$lines",
                statusCode = EXIT_INVALID_SETTINGS,
            )
        },
        { it },
    )

private const val EXIT_INVALID_SETTINGS = 2
