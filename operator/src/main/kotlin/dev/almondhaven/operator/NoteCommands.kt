package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.platform.ConfigurationStore
import dev.almondhaven.platform.HttpObjectStore
import dev.almondhaven.platform.Publisher
import dev.almondhaven.settings.YamlDocument
import java.io.File
import java.net.InetAddress
import java.net.URI

internal const val DEFAULT_PLATFORM = "http://127.0.0.1:9000"

/** Checks a release note without publishing it. */
internal class NoteCheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "Release note in YAML.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Checks a release note's shape and lists every problem in it."

    override fun run() {
        val note = readNote(file)
        echo("${file.path}: note ${note.id} has no structural problems")
    }
}

/** Publishes a release note. */
internal class NotePublishCommand : CliktCommand(name = "publish") {
    private val file by argument(help = "Release note in YAML.").file(mustExist = true, canBeDir = false)
    private val platform by option(help = "Address of the object API.").default(DEFAULT_PLATFORM)
    private val author by option(help = "Who publishes; goes into the audit trail.")
        .defaultLazy { System.getProperty("user.name") }

    override fun help(context: Context): String = "Publishes a release note; publishing it twice counts once."

    override fun run() {
        val note = readNote(file)
        val store = ConfigurationStore(HttpObjectStore(URI(platform)))
        val publisher = Publisher(author, System.currentTimeMillis(), hostName())
        val generation =
            store.publish(ConfigurationEntry.NotePublished(note), publisher).fold({ throw it.toFailure() }, { it })
        echo("note ${note.id} is accepted as generation ${generation.generation}")
    }
}

private fun hostName(): String = runCatching { InetAddress.getLocalHost().hostName }.getOrDefault("unknown")

private fun readNote(file: File): ReleaseNote =
    YamlDocument.read(ReleaseNote.serializer(), file.readText()).fold({ throw invalidNote(it) }, { it })
