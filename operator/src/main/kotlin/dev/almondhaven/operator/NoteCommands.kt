package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.accept
import dev.almondhaven.catalogue.differences
import dev.almondhaven.model.Generation
import dev.almondhaven.settings.YamlDocument
import dev.almondhaven.store.AuditTrail
import dev.almondhaven.store.PublishError
import java.io.File

/** Parent of the commands for release notes. */
internal class NoteCommand : CliktCommand(name = "note") {
    override fun help(context: Context): String = "Checks, compares and publishes release notes."

    override fun run(): Unit = Unit
}

/** A command that reads one release note. */
internal abstract class NoteFileCommand(
    name: String,
) : CliktCommand(name) {
    protected val file: File by argument(help = "Release note in YAML.").file(mustExist = true, canBeDir = false)
    protected val platform: PlatformOptions by PlatformOptions()

    protected fun readEntry(): ConfigurationEntry.NotePublished =
        YamlDocument
            .read(ReleaseNote.serializer(), file.readText())
            .fold({ throw invalidNote(it) }, { ConfigurationEntry.NotePublished(it) })

    /** The catalogue with [entry] on top of [catalogue]; fails the command with every problem. */
    protected fun folded(
        catalogue: Catalogue,
        entry: ConfigurationEntry,
    ): Catalogue = catalogue.accept(entry).fold({ throw invalidNote(it) }, { it })
}

/** Checks a release note without publishing it. */
internal class NoteCheckCommand : NoteFileCommand(name = "check") {
    override fun help(context: Context): String =
        """
        Checks a release note and lists every problem in it.

        Its shape is always checked; against the configuration in force it is checked when the platform answers.

        Example: almondhaven note check notes/slate-3.yaml
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        platform.store.head().fold(
            { error ->
                echo("${file.path}: the shape has no problems")
                echo(
                    "The platform doesn't answer ($error): not checked against the configuration in force.",
                    err = true,
                )
            },
            { current ->
                val catalogue = current?.head?.catalogue ?: Catalogue.EMPTY
                folded(catalogue, entry)
                echo("${file.path}: no problems on top of generation ${catalogue.generation}")
            },
        )
    }
}

/** Shows what a release note would change. */
internal class NoteDiffCommand : NoteFileCommand(name = "diff") {
    override fun help(context: Context): String =
        """
        Shows what a release note would change in the configuration in force.

        Each line begins with + (added), ~ (changed) or - (removed). Publish with --on and the generation shown to be
        sure that nothing else has changed since.

        Example: almondhaven note diff notes/slate-3.yaml
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        val catalogue = platform.catalogue()
        val changes = catalogue.differences(folded(catalogue, entry))
        echo("note ${entry.id} on top of generation ${catalogue.generation}:")
        changes.forEach { echo("  $it") }
        if (changes.isEmpty()) echo("  no change")
    }
}

/** Publishes a release note. */
internal class NotePublishCommand : NoteFileCommand(name = "publish") {
    private val publisher by PublisherOptions()
    private val routers by RouterOptions()
    private val on by option(help = "Publish only if this generation is in force.", metavar = "generation").long()

    override fun help(context: Context): String =
        """
        Publishes a release note.

        Publishing the same note twice counts once, so when the command can't say whether the note was accepted, run it
        again. To roll back, publish a new note that says what shall hold.

        Example: almondhaven note publish notes/slate-3.yaml --on 41

        Exit codes: 0 accepted, 2 the note is wrong, 3 another operator was first, 4 the platform doesn't answer and
        nothing was published, 5 not known yet: run the command again.
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        val accepted =
            platform.store
                .publish(entry, publisher.publisher(), on?.let { Generation(it) })
                .fold({ throw failureOf(it) }, { it })
        val before = if (accepted.wasAlreadyAccepted) "was already" else "is"
        echo("note ${entry.id} $before accepted as generation ${accepted.generation}")
        pushToRouters(routers, platform)
    }

    /** A conflict is told with the entries that came in between, as far as the platform answers. */
    private fun failureOf(error: PublishError): CliktError {
        if (error !is PublishError.Conflict) return error.toFailure()
        val records = AuditTrail(platform.objects).read().fold({ emptyList() }, { it.records })
        return conflict(error, records.filter { it.generation > error.expected })
    }
}
