package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate

/** Shows which configuration generation is in force in each failure domain. */
internal class StatusCommand : CliktCommand(name = "status") {
    private val platform by PlatformOptions()
    private val routers by RouterOptions()
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Shows for each failure domain the generation in force, how many routers confirm it, and which routers are
        unresponsive.

        Discovers the other routers through the given ones. While the platform is down, routers are compared with the
        newest generation that any router holds.

        Example: almondhaven status --router 10.0.0.1:8081 --router 10.1.0.1:8081

        Exit code 7 means that not every router confirms the accepted generation.
        """.trimIndent()

    override fun run() {
        val probe = routers.probe()
        val catalogue = platform.store.head().fold({ null }, { it?.head?.catalogue })
        val summary = FleetSummary.of(catalogue, probe.probe())
        when (output) {
            Output.TEXT -> summary.lines().forEach { echo(it) }
            Output.JSON -> echo(OUTPUT_JSON.encodeToString(FleetSummary.serializer(), summary))
        }
        if (!summary.complete) throw ProgramResult(ExitCode.NOT_CONFIRMED)
    }
}
