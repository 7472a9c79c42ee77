package dev.almondhaven.gateway

import dev.almondhaven.platform.NodeFile
import dev.almondhaven.platform.WireSamples
import java.io.File
import java.io.IOException
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A router as a process of its own, with the classes of this test run. Its log is in [folder]. */
internal class RunningRouter(
    private val name: String,
    private val folder: Path,
    storeAddress: String,
) : AutoCloseable {
    val callerPort: Int
    private val readyPort: Int
    private val log: File = folder.resolve("$name.log").toFile()
    private val process: Process

    init {
        val (caller, ready, peer) = freePorts()
        callerPort = caller
        readyPort = ready
        val settings = folder.resolve("$name.json")
        Files.writeString(settings, WireSamples.nodeFile(name, caller, ready, peer, storeAddress))
        process = start(settings)
        Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
    }

    /** Three free ports, other ones than any router of this process has got. */
    private fun freePorts(): List<Int> = List(PORTS) { ServerSocket(0) }.map { socket -> socket.use { it.localPort } }

    private fun start(settings: Path): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val main = "dev.almondhaven.gateway.GatewayMainKt"
        val options = listOf("-Xmx110m", "-XX:+UseSerialGC", "-Dlogback.configurationFile=logback-gateway.xml")
        val builder = ProcessBuilder(listOf(java) + options + listOf("-cp", classPath, main))
        builder.environment()[NodeFile.PATH_VARIABLE] = "$settings"
        return builder.redirectErrorStream(true).redirectOutput(log).start()
    }

    fun awaitReady() {
        repeat(MAX_READY_CHECKS) {
            if (isReady()) return
            check(process.isAlive) { "$name has ended: ${log.readText()}" }
            TimeUnit.MILLISECONDS.sleep(READY_CHECK_INTERVAL_MILLIS)
        }
        error("$name is not ready: ${log.readText()}")
    }

    private fun isReady(): Boolean =
        try {
            val connection = URI("http://127.0.0.1:$readyPort/ready").toURL().openConnection() as HttpURLConnection
            connection.responseCode == HttpURLConnection.HTTP_OK
        } catch (_: IOException) {
            false
        }

    /** Lines of the log that name [requestId]. */
    fun logOf(requestId: String): List<String> =
        log.useLines { lines -> lines.filter { "request=$requestId " in it }.toList() }

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val PORTS = 3
        const val MAX_READY_CHECKS = 200
        const val READY_CHECK_INTERVAL_MILLIS = 100L
    }
}
