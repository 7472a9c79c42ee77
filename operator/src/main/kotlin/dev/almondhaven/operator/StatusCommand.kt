package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate

/** Shows what is in force where. */
internal class StatusCommand : CliktCommand(name = "status") {
    private val platform by PlatformOptions()
    private val routers by RouterOptions()
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Shows for each failure domain which generation is in force, how many routers confirm it, and who is silent.

        The routers named are asked for the others. While the platform is down the newest generation that a router holds
        is taken as the measure.

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
