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

/** Base of the commands that read one release note. */
internal abstract class NoteFileCommand(
    name: String,
) : CliktCommand(name) {
    protected val file: File by argument(help = "Release note in YAML.").file(mustExist = true, canBeDir = false)
    protected val platform: PlatformOptions by PlatformOptions()

    protected fun readEntry(): ConfigurationEntry.NotePublished =
        YamlDocument
            .read(ReleaseNote.serializer(), file.readText())
            .fold({ throw invalidNote(it) }, { ConfigurationEntry.NotePublished(it) })

    /** Applies [entry] to [catalogue]. Fails the command, listing every problem, if the entry is invalid. */
    protected fun applyEntry(
        catalogue: Catalogue,
        entry: ConfigurationEntry,
    ): Catalogue = catalogue.accept(entry).fold({ throw invalidNote(it) }, { it })
}

/** Validates a release note without publishing it. */
internal class NoteCheckCommand : NoteFileCommand(name = "check") {
    override fun help(context: Context): String =
        """
        Checks a release note and lists every problem in it.

        Always checks the note's structure, and checks it against the configuration in force if the platform responds.

        Example: almondhaven note check notes/slate-3.yaml
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        platform.store.head().fold(
            { error ->
                echo("${file.path}: no problems in its structure")
                echo(
                    "The platform doesn't respond ($error): not checked against the configuration in force.",
                    err = true,
                )
            },
            { latest ->
                val catalogue = latest?.head?.catalogue ?: Catalogue.EMPTY
                applyEntry(catalogue, entry)
                echo("${file.path}: no problems on top of generation ${catalogue.generation}")
            },
        )
    }
}

/** Shows the changes that a release note would make. */
internal class NoteDiffCommand : NoteFileCommand(name = "diff") {
    override fun help(context: Context): String =
        """
        Shows the changes that a release note would make to the configuration in force.

        Each line begins with + (added), ~ (changed) or - (removed). To publish only if nothing
        else has changed since, pass the generation shown to `note publish --on`.

        Example: almondhaven note diff notes/slate-3.yaml
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        val catalogue = platform.catalogue()
        val changes = catalogue.differences(applyEntry(catalogue, entry))
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

        Publishing is idempotent: if the command can't tell whether the note was accepted, run it again. To roll back,
        publish a new note that restores the earlier values.

        Example: almondhaven note publish notes/slate-3.yaml --on 41

        Exit codes: 0 accepted, 2 the note is invalid, 3 another operator published first, 4 the platform is
        unavailable and nothing was published, 5 the outcome is unknown: run the command again.
        """.trimIndent()

    override fun run() {
        val entry = readEntry()
        val accepted =
            platform.store
                .publish(entry, publisher.publisher(), on?.let { Generation(it) })
                .fold({ throw failureWithHistory(it) }, { it })
        val verb = if (accepted.wasAlreadyAccepted) "was already" else "is"
        echo("note ${entry.id} $verb accepted as generation ${accepted.generation}")
        pushToRouters(routers, platform)
    }

    /** Converts [error]. A conflict lists the entries accepted meanwhile, or none if the platform doesn't respond. */
    private fun failureWithHistory(error: PublishError): CliktError {
        if (error !is PublishError.Conflict) return error.toFailure()
        val records = AuditTrail(platform.objects).read().fold({ emptyList() }, { it.records })
        return conflict(error, records.filter { it.generation > error.expected })
    }
}
