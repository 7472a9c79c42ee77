package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktError
import dev.almondhaven.model.ResultCode
import dev.almondhaven.platform.PublishError
import dev.almondhaven.settings.Problem

/** Exit codes of the operators' command line. */
public object ExitCode {
    /** The document or the arguments are wrong. */
    public const val INVALID: Int = 2

    /** Another operator was first. */
    public const val CONFLICT: Int = 3

    /** The platform didn't answer; nothing certain can be said. */
    public const val UNAVAILABLE: Int = 4
}

/** A command's failure as the terminal shows it: number, name and what exactly went wrong. */
internal fun failure(
    code: ResultCode,
    detail: String,
    exitCode: Int,
): CliktError = CliktError("${code.number} ${code.name.lowercase()}: $detail", statusCode = exitCode)

internal fun invalidNote(problems: List<Problem>): CliktError =
    failure(ResultCode.INVALID_NOTE, problems.joinToString("") { "\n  $it" }, ExitCode.INVALID)

internal fun PublishError.toFailure(): CliktError =
    when (this) {
        is PublishError.Invalid -> {
            invalidNote(problems)
        }

        is PublishError.Conflict -> {
            failure(
                ResultCode.PUBLISH_CONFLICT,
                "generation $found was accepted after $expected was read; look at it and publish again",
                ExitCode.CONFLICT,
            )
        }

        is PublishError.Platform -> {
            failure(ResultCode.PLATFORM_UNAVAILABLE, "$error", ExitCode.UNAVAILABLE)
        }
    }
