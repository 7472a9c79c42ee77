package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path

/** Prints what routers have logged of one request. */
internal class ExplainRequestCommand : CliktCommand(name = "explain-request") {
    private val id by argument(help = "The request's id.")
    private val files by argument(name = "FILE", help = "Output of a router.")
        .path(mustExist = true, canBeDir = false)
        .multiple(required = true)

    override fun help(context: Context): String =
        "Prints the lines that the routers' output holds of one request, in the order of time, each with its file."

    override fun run() {
        val story = RequestStory.read(id, files)
        if (story.lines.isEmpty()) throw UsageError("no line of ${files.size} files tells of request $id")
        story.lines.forEach { echo("${it.at} ${it.source} ${it.text}") }
    }
}
