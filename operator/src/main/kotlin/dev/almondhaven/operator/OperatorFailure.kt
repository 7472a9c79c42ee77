package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktError
import dev.almondhaven.model.ResultCode
import dev.almondhaven.settings.Problem
import dev.almondhaven.store.ConfigurationRecord
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.PublishError

/** Exit codes of the operators' command-line tool. */
public object ExitCode {
    /** The document or an argument is invalid. */
    public const val INVALID: Int = 2

    /** Another operator published first, or billing records conflict. */
    public const val CONFLICT: Int = 3

    /** The platform didn't respond; nothing was changed. */
    public const val UNAVAILABLE: Int = 4

    /** A write got no response, so its outcome is unknown. Running the same command again is safe and resolves it. */
    public const val UNSETTLED: Int = 5

    /** The hash chain of the audit trail is broken. */
    public const val AUDIT_BROKEN: Int = 6

    /** Not every router confirms the accepted generation. */
    public const val NOT_CONFIRMED: Int = 7
}

/** Error that ends a command with [exitCode] and prints the number and name of [code] and the [detail]. */
internal fun failure(
    code: ResultCode,
    detail: String,
    exitCode: Int,
): CliktError = CliktError("${code.number} ${code.name.lowercase()}: $detail", statusCode = exitCode)

internal fun invalidNote(problems: List<Problem>): CliktError =
    failure(ResultCode.INVALID_NOTE, problems.joinToString("") { "\n  $it" }, ExitCode.INVALID)

internal fun PublishError.toFailure(): CliktError =
    when (this) {
        is PublishError.Invalid -> invalidNote(problems)
        is PublishError.Conflict -> conflict(this)
        is PublishError.IdReused -> idReused(this)
        is PublishError.TooLarge -> tooLarge(this)
        is PublishError.Platform -> unavailable("$error; nothing was published")
        is PublishError.Unsettled -> unsettled(this)
    }

internal fun unavailable(detail: String): CliktError =
    failure(ResultCode.PLATFORM_UNAVAILABLE, detail, ExitCode.UNAVAILABLE)

/** Error for a publish conflict, with the changes made meanwhile and the [records] that made them. */
internal fun conflict(
    conflict: PublishError.Conflict,
    records: List<ConfigurationRecord> = emptyList(),
): CliktError {
    val text = "generation ${conflict.found} is in force instead of ${conflict.expected}; nothing was published."
    val entries = records.joinToString("") { "\n  ${it.line()}" }
    val changes = conflict.changes.joinToString("") { "\n  $it" }
    return failure(ResultCode.PUBLISH_CONFLICT, "$text Accepted meanwhile:$entries$changes", ExitCode.CONFLICT)
}

private fun idReused(reused: PublishError.IdReused): CliktError {
    val text = "another entry with id '${reused.id}' was accepted as generation ${reused.generation}; choose a new id"
    return failure(ResultCode.NOTE_ID_REUSED, text, ExitCode.INVALID)
}

private fun tooLarge(error: PublishError.TooLarge): CliktError {
    val text = "the configuration would take ${error.bytes} bytes; the limit is ${ObjectStore.MAXIMUM_VALUE_BYTES}"
    return failure(ResultCode.CONFIGURATION_TOO_LARGE, text, ExitCode.INVALID)
}

private fun unsettled(error: PublishError.Unsettled): CliktError {
    val text = "${error.error}; the outcome of '${error.id}' is unknown, and it may still be accepted."
    return failure(
        ResultCode.PUBLISH_UNSETTLED,
        "$text Run the command again; it never publishes twice.",
        ExitCode.UNSETTLED,
    )
}
