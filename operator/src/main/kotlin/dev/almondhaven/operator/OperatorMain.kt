package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of the `almondhaven` binary. */
public fun main(arguments: Array<String>): Unit = operatorCommand().main(arguments)

/** The whole command tree of the operators' command line. */
public fun operatorCommand(): CliktCommand =
    OperatorCommand().subcommands(
        NoteCommand().subcommands(NoteCheckCommand(), NotePublishCommand()),
        BillCommand(),
    )

private class OperatorCommand : CliktCommand(name = "almondhaven") {
    override fun help(context: Context): String = "Publishes release notes and shows what is in force."

    override fun run(): Unit = Unit
}

private class NoteCommand : CliktCommand(name = "note") {
    override fun help(context: Context): String = "Works with release notes."

    override fun run(): Unit = Unit
}
