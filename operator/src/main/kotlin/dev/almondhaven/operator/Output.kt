package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.serialization.json.Json

/** Output format of a command's result. */
internal enum class Output {
    TEXT,
    JSON,
}

/** Indented JSON that includes properties with default values. */
internal val OUTPUT_JSON: Json =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** The option `--output text|json`. */
internal fun CliktCommand.outputOption() =
    option("--output", help = "Output format: text for people or JSON for programs.")
        .enum<Output> { it.name.lowercase() }
        .default(Output.TEXT)
