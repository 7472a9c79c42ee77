package dev.almondhaven.experiments.deployment

import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.settings.YamlDocument
import java.io.File
import java.util.concurrent.TimeUnit

/** A router in a separate JVM, started with a settings file in the format that the router binary reads. */
public class ProcessRouter private constructor(
    override val settings: RouterSettings,
    private val child: Process,
) : RouterInstance {
    override val process: ProcessHandle get() = child.toHandle()

    override fun kill() {
        child.destroyForcibly().waitFor()
    }

    override fun stop() {
        child.destroy()
        if (!child.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) kill()
    }

    public companion object {
        private const val STOP_SECONDS = 40L
        private const val HEAP = "-Xmx192m"

        /** Starts router processes whose settings files and logs are written to [directory]. */
        public fun starter(directory: File): RouterStarter =
            RouterStarter { settings ->
                directory.mkdirs()
                val name = settings.process.listen.replace(':', '-')
                val file = File(directory, "$name.yaml")
                file.writeText(YamlDocument.write(RouterSettings.serializer(), settings))
                val log = ProcessBuilder.Redirect.appendTo(File(directory, "$name.log"))
                val process = ProcessBuilder(command(file)).redirectError(log).redirectOutput(log).start()
                ProcessRouter(settings, process)
            }

        private fun command(settings: File): List<String> =
            listOf(
                File(System.getProperty("java.home"), "bin/java").path,
                HEAP,
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "dev.almondhaven.router.RouterMainKt",
                "serve",
                "--settings",
                settings.path,
            )
    }
}
