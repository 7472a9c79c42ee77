package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.model.ResultCode
import dev.almondhaven.store.ConfigurationRecord
import kotlinx.serialization.builtins.ListSerializer
import java.time.Instant

/** Lists the newest accepted configuration entries. */
internal class NoteHistoryCommand : CliktCommand(name = "history") {
    private val platform by PlatformOptions()
    private val output by outputOption()
    private val last by option(help = "Number of entries, newest last.").int().restrictTo(min = 1).default(DEFAULT_LAST)

    override fun help(context: Context): String =
        """
        Lists the newest accepted entries: time, author, host, change and reason.

        Example: almondhaven note history --last 5
        """.trimIndent()

    override fun run() {
        val records = platform.auditReport().records.takeLast(last)
        when (output) {
            Output.TEXT -> records.forEach { echo(it.line()) }
            Output.JSON -> echo(OUTPUT_JSON.encodeToString(ListSerializer(ConfigurationRecord.serializer()), records))
        }
    }

    private companion object {
        const val DEFAULT_LAST = 20
    }
}

/** Prints the whole audit trail and verifies its hash chain. */
internal class AuditCommand : CliktCommand(name = "audit") {
    private val platform by PlatformOptions()
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Prints every accepted entry (time, author, host, change, reason) and verifies the hash chain.

        Exit code 6 means that an entry was altered or is missing.

        Example: almondhaven audit --output json
        """.trimIndent()

    override fun run() {
        val report = platform.auditReport()
        when (output) {
            Output.TEXT -> {
                report.records.forEach { echo(it.line()) }
            }

            Output.JSON -> {
                echo(OUTPUT_JSON.encodeToString(ListSerializer(ConfigurationRecord.serializer()), report.records))
            }
        }
        if (report.faults.isNotEmpty()) throw brokenAuditTrail(report.faults)
        val pending = if (report.isNewestEntryUnstored) "; the next publication stores the newest" else ""
        echo("${report.records.size} entries, the hash chain is intact$pending", err = output == Output.JSON)
    }
}

/** Formats the record as one line of text. */
internal fun ConfigurationRecord.line(): String =
    "$generation  ${Instant.ofEpochMilli(acceptedAt)}  $author@$host  ${entry.summary()}  ${entry.reason}"

private fun ConfigurationEntry.summary(): String =
    when (this) {
        is ConfigurationEntry.NotePublished -> "note $id"
        is ConfigurationEntry.DomainTakenOut -> "domain $domain taken out ($id)"
        is ConfigurationEntry.DomainReturned -> "domain $domain returned ($id)"
    }

internal fun brokenAuditTrail(faults: List<Any>) =
    failure(ResultCode.AUDIT_BROKEN, faults.joinToString("") { "\n  $it" }, ExitCode.AUDIT_BROKEN)
