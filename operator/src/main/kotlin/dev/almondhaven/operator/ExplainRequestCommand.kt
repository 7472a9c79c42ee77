package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path

/** Prints the routers' log events about one request. */
internal class ExplainRequestCommand : CliktCommand(name = "explain-request") {
    private val id by argument(help = "Request id.")
    private val files by argument(name = "FILE", help = "Log output of a router.")
        .path(mustExist = true, canBeDir = false)
        .multiple(required = true)

    override fun help(context: Context): String =
        "Prints the events about one request from the routers' log output, ordered by time, each with its file name."

    override fun run() {
        val log = RequestLog.read(id, files)
        if (log.events.isEmpty()) throw UsageError("no event about request $id in the ${files.size} given files")
        log.events.forEach { echo("${it.at} ${it.source} ${it.text}") }
    }
}
