package dev.almondhaven.operator

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of the `almondhaven` binary. */
public fun main(arguments: Array<String>): Unit = operatorCommand().main(arguments)

/** Builds the operators' command-line tool with all subcommands. */
public fun operatorCommand(): CliktCommand =
    OperatorCommand()
        .completionOption(help = "Prints a completion script for bash, zsh or fish.")
        .subcommands(
            NoteCommand().subcommands(
                NoteCheckCommand(),
                NoteDiffCommand(),
                NotePublishCommand(),
                NoteHistoryCommand(),
            ),
            DomainCommand().subcommands(DomainTakeOutCommand(), DomainReturnCommand()),
            BillCommand(),
            AuditCommand(),
            StatusCommand(),
            ExplainCommand(),
            ExplainRequestCommand(),
        )

private class OperatorCommand : CliktCommand(name = "almondhaven") {
    override fun help(context: Context): String =
        """
        Publishes release notes, takes failure domains out of service and returns them, and shows the configuration in
        force.

        To get started: almondhaven note check NOTE, almondhaven note diff NOTE, almondhaven note publish NOTE.

        Exit codes: 0 success, 1 usage error, 2 invalid document, 3 conflict, 4 platform unavailable, nothing changed,
        5 outcome unknown (run the same command again), 6 audit trail broken, 7 not confirmed by every router.
        """.trimIndent()

    override fun run(): Unit = Unit
}
