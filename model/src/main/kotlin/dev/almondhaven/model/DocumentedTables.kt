package dev.almondhaven.model

import java.io.File

// Generates the documentation pages of result codes and log events. A test compares the files with the code.

private val resultCodesIntroduction =
    """
    # Result codes

    Errors reach callers as `{"error":{"code":…,"type":…,"message":…,"outcome":…,"request_id":…}}`. `outcome` is
    `not_run` (nothing was run and nothing will be), `ran`, or `unknown`. A dash marks a code that is never returned to
    an HTTP caller. `bin/update-tables` generates this page.

    | number | name | status | meaning |
    | --- | --- | --- | --- |
    """.trimIndent()

private val eventsIntroduction =
    """
    # Log events

    Logs are JSON lines on standard error; the field `event` holds the number of the event, and the message starts
    with its name. `bin/update-tables` generates this page.

    | number | name | level | meaning |
    | --- | --- | --- | --- |
    """.trimIndent()

/** Renders the page of result codes. */
internal fun resultCodesPage(): String =
    ResultCode.entries.joinToString("\n", "$resultCodesIntroduction\n", "\n") { code ->
        val status = if (code.status == 0) "–" else "${code.status}"
        "| ${code.number} | ${code.name.lowercase()} | $status | ${code.meaning} |"
    }

/** Renders the page of log events. */
internal fun eventsPage(): String =
    LogEvent.entries.joinToString("\n", "$eventsIntroduction\n", "\n") {
        "| ${it.number} | ${it.name} | ${it.level} | ${it.meaning} |"
    }

/** Rewrites both pages in the directory given as the only argument. */
public fun main(arguments: Array<String>) {
    val directory = File(arguments.single())
    File(directory, "RESULT-CODES.md").writeText(resultCodesPage())
    File(directory, "EVENTS.md").writeText(eventsPage())
}
