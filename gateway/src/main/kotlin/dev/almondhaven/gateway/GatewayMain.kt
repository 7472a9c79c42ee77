// The router's process on the platform's VMs: reads the VM's settings, serves until it is asked to stop.

package dev.almondhaven.gateway

import ch.qos.logback.classic.LoggerContext
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.NodeFile
import dev.almondhaven.traffic.RouterPlace
import io.github.oshai.kotlinlogging.KotlinLogging
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}
private const val EXIT_CONFIGURATION = 78

/** Runs the router, or with `rehearse` a [CdsTrainingRun]; ends with status 78 if the settings are wrong. */
public fun main(arguments: Array<String>) {
    if (arguments.contentEquals(arrayOf("rehearse"))) exitProcess(CdsTrainingRun().run())
    val place = readPlace() ?: exitProcess(EXIT_CONFIGURATION)
    val stop = CountDownLatch(1)
    Signal.handle(Signal("TERM")) { stop.countDown() }
    Signal.handle(Signal("INT")) { stop.countDown() }
    Signal.handle(Signal("HUP")) { reload(place) }
    val gateway = Gateway.start(place)
    stop.await()
    gateway.stop()
    (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
    // Ends without a second round of handlers; nothing is left to save.
    Runtime.getRuntime().halt(0)
}

private fun readPlace(): RouterPlace? {
    val path = Path.of(System.getenv(NodeFile.PATH_VARIABLE) ?: NodeFile.USUAL_PATH)
    val text =
        try {
            Files.readString(path)
        } catch (failure: IOException) {
            logger.error(failure) { "the settings file $path can't be read" }
            return null
        }
    return NodeFile.decode(text).fold(
        { problems ->
            problems.forEach { problem -> logger.error { "$path: $problem" } }
            null
        },
    ) { it }
}

/** Addresses can't change while the process runs; everything else comes from the store. */
private fun reload(running: RouterPlace) {
    val next = readPlace() ?: return
    LogEvent.SETTINGS_RELOADED.log(logger) { "router=${running.name} changed=${next != running}" }
}
