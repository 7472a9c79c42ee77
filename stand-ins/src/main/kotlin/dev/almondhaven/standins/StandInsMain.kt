package dev.almondhaven.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.linecorp.armeria.server.ServerBuilder
import dev.almondhaven.peer.VmListEntry
import dev.almondhaven.store.InMemoryObjectStore
import kotlin.time.Duration.Companion.milliseconds

/** Entry point that runs one stand-in as a separate process, for the local demonstration in `bin/try`. */
public fun main(arguments: Array<String>): Unit =
    StandInsCommand()
        .subcommands(ObjectStoreCommand(), EngineCommand(), ServiceCommand(), VmListCommand())
        .main(arguments)

private class StandInsCommand : CliktCommand(name = "stand-ins") {
    override fun help(context: Context): String = "Runs stand-ins for external systems on the loopback interface."

    override fun run(): Unit = Unit
}

private abstract class ServerCommand(
    name: String,
    private val helpText: String,
) : CliktCommand(name = name) {
    private val port by option(help = "Port to listen on.").int().required()

    override fun help(context: Context): String = helpText

    override fun run() {
        StandInServer.start(port) { configure(it) }.join()
    }

    abstract fun configure(builder: ServerBuilder)
}

private class ObjectStoreCommand : ServerCommand("object-store", "The platform's object API, in memory.") {
    override fun configure(builder: ServerBuilder): Unit = ObjectStoreServer(InMemoryObjectStore()).addTo(builder)
}

private class EngineCommand : ServerCommand("engine", "A model engine that generates numbered tokens.") {
    private val firstToken by option(help = "Milliseconds until the first token.").long().default(DEFAULT_FIRST_TOKEN)
    private val betweenTokens by option(help = "Milliseconds between tokens.").long().default(DEFAULT_BETWEEN_TOKENS)

    private val ignoreFencing by option(help = "Accept orders with outdated fencing tokens.").flag()
    private val loadTime by option(help = "Milliseconds to load a version.").long().default(DEFAULT_LOAD_TIME)

    override fun configure(builder: ServerBuilder) {
        EngineStandIn(EngineBehaviour(firstToken.milliseconds, betweenTokens.milliseconds)).addTo(builder)
        EngineLoadStandIn(!ignoreFencing, loadTime.milliseconds).addTo(builder)
    }

    private companion object {
        const val DEFAULT_LOAD_TIME = 2_000L
        const val DEFAULT_FIRST_TOKEN = 30L
        const val DEFAULT_BETWEEN_TOKENS = 10L
    }
}

private class ServiceCommand : ServerCommand("service", "A plain service that records every call that it runs.") {
    override fun configure(builder: ServerBuilder): Unit = ServiceStandIn().addTo(builder)
}

private class VmListCommand : ServerCommand("vm-list", "The platform's list of VMs.") {
    private val live by option(help = "ip:port of the router on a live VM; repeatable.").multiple()

    override fun configure(builder: ServerBuilder): Unit = VmListStandIn(live.map { VmListEntry(it) }).addTo(builder)
}
