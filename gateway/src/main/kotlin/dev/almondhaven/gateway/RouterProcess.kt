package dev.almondhaven.gateway

import ch.qos.logback.classic.LoggerContext
import dev.almondhaven.gateway.duty.HeapUse
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.NodeFile
import dev.almondhaven.traffic.NodeSettings
import io.github.oshai.kotlinlogging.KotlinLogging
import org.slf4j.LoggerFactory
import sun.misc.Signal
import java.io.IOException
import java.nio.channels.ServerSocketChannel
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private val logger = KotlinLogging.logger {}

/**
 * The router as a process: reads the VM's settings, serves until it is asked to stop, and exits with status 78 if the
 * settings are invalid, and with status 70 if its event loop has ended.
 *
 * @property listener the callers' port if it is open already.
 */
internal class RouterProcess(
    private val listener: ServerSocketChannel?,
) {
    fun run() {
        val settings = readSettings() ?: exitProcess(EXIT_CONFIGURATION)
        val stop = CountDownLatch(1)
        Signal.handle(Signal("TERM")) { stop.countDown() }
        Signal.handle(Signal("INT")) { stop.countDown() }
        Signal.handle(Signal("HUP")) { reload(settings) }
        val gateway = Gateway.start(settings, listener, onLoopEnd = ::exitWithoutEventLoop)
        stop.await()
        gateway.stop()
        (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
        // Exits without shutdown hooks; no state is left to save.
        Runtime.getRuntime().halt(0)
    }

    /** Exits so that the platform restarts the process, which would never answer again without its event loop. */
    private fun exitWithoutEventLoop() {
        try {
            LogEvent.EVENT_LOOP_ENDED.log(logger) { HeapUse.now() }
            (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
        } finally {
            Runtime.getRuntime().halt(EXIT_EVENT_LOOP_ENDED)
        }
    }

    private fun readSettings(): NodeSettings? {
        val path = Path.of(System.getenv(NodeFile.PATH_VARIABLE) ?: NodeFile.DEFAULT_PATH)
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

    /**
     * Reads the settings again and logs whether they have changed. A running process does not apply changes: addresses
     * can't change while it runs, and everything else comes from the store.
     */
    private fun reload(running: NodeSettings) {
        val next = readSettings() ?: return
        LogEvent.SETTINGS_RELOADED.log(logger) { "router=${running.name} changed=${next != running}" }
    }

    private companion object {
        const val EXIT_CONFIGURATION = 78

        /** The exit status of an internal software error in `sysexits.h`. */
        const val EXIT_EVENT_LOOP_ENDED = 70
    }
}
