package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.decision.billing.BillingStatement
import dev.almondhaven.model.ResultCode
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.ObjectStore
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Parent of the commands that read billing records. */
internal class BillCommand : CliktCommand(name = "bill") {
    init {
        subcommands(BillExportCommand(), BillVerifyCommand())
    }

    override fun help(context: Context): String = "Reads the billing records."

    override fun run(): Unit = Unit
}

/** Exports one billing record per request as CSV or JSON. */
internal class BillExportCommand : CliktCommand(name = "export") {
    private val platform by PlatformOptions()
    private val from by option(help = "First hour to read, in UTC as yyyyMMddHH.").default("")
    private val to by option(help = "Last hour to read, in UTC as yyyyMMddHH.").default("")
    private val format by option(help = "Format of the output.").choice("csv", "json").default("csv")

    override fun help(context: Context): String =
        "Prints each billed request once, even if its record was stored several times."

    override fun run() {
        val records = readStatement(platform.objects, from, to).records
        echo(if (format == "csv") csv(records) else json(records), trailingNewline = false)
    }
}

/** Checks the stored records for requests that are billed inconsistently. */
internal class BillVerifyCommand : CliktCommand(name = "verify") {
    private val platform by PlatformOptions()
    private val from by option(help = "First hour to read, in UTC as yyyyMMddHH.").default("")
    private val to by option(help = "Last hour to read, in UTC as yyyyMMddHH.").default("")

    override fun help(context: Context): String =
        "Fails if a request has differing records; counts identical duplicates, which are harmless."

    override fun run() {
        val statement = readStatement(platform.objects, from, to)
        echo(
            "${statement.records.size} requests, ${statement.duplicateBatches} batches stored more than once, " +
                "${statement.duplicateRequests} duplicate records",
        )
        if (statement.conflictingRequests.isEmpty()) return
        val conflicts = statement.conflictingRequests.joinToString("") { "\n  $it" }
        throw failure(ResultCode.BILLING_CONFLICT, conflicts, ExitCode.CONFLICT)
    }
}

private fun readStatement(
    objects: ObjectStore,
    from: String,
    to: String,
): BillingStatement {
    val batches =
        BillingStore(objects).readAll(from, to).fold(
            { throw failure(ResultCode.PLATFORM_UNAVAILABLE, "$it", ExitCode.UNAVAILABLE) },
            { it },
        )
    return BillingStatement.of(batches.asSequence())
}

/** Formats [records] as CSV according to RFC 4180, with a header line. */
internal fun csv(records: List<BillingRecord>): String {
    val header =
        "request,organisation,ended_at,model,service,prompt_tokens,completion_tokens,cost_micros,result_code\r\n"
    return header + records.joinToString("") { "${csvLine(it)}\r\n" }
}

private fun csvLine(record: BillingRecord): String =
    listOf(
        record.request,
        record.organisation,
        record.endedAt,
        record.version ?: "",
        record.service ?: "",
        record.promptTokens,
        record.completionTokens,
        record.costMicros,
        record.resultCode,
    ).joinToString(",") { quotedIfNeeded("$it") }

private fun quotedIfNeeded(text: String): String =
    if (text.any { it in ",\"\r\n" }) "\"${text.replace("\"", "\"\"")}\"" else text

private fun json(records: List<BillingRecord>): String =
    Json.encodeToString(ListSerializer(BillingRecord.serializer()), records) + "\n"
