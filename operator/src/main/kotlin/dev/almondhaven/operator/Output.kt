package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.serialization.json.Json

/** How a command prints its result. */
internal enum class Output {
    TEXT,
    JSON,
}

/** JSON that people may read, too. */
internal val OUTPUT_JSON: Json =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** The option `--output text|json`. */
internal fun CliktCommand.outputOption() =
    option("--output", help = "Text for people or JSON for programs.")
        .enum<Output> { it.name.lowercase() }
        .default(Output.TEXT)
