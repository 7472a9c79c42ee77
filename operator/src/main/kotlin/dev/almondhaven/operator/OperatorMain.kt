package dev.almondhaven.operator

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of the `almondhaven` binary. */
public fun main(arguments: Array<String>): Unit = operatorCommand().main(arguments)

/** The whole command tree of the operators' command line. */
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
        Publishes release notes, takes failure domains out and in, and shows what is in force.

        A first round: almondhaven note check NOTE, almondhaven note diff NOTE, almondhaven note publish NOTE.

        Exit codes: 0 done, 1 wrong usage, 2 wrong document, 3 conflict, 4 platform unavailable and nothing changed,
        5 not known yet (run the same command again), 6 the audit trail is broken, 7 not confirmed everywhere.
        """.trimIndent()

    override fun run(): Unit = Unit
}
