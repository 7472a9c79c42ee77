package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.peer.PeerKeyRing

/** Which routers to speak to. A few are enough: they name the others. */
internal class RouterOptions : OptionGroup(name = "Routers") {
    private val router by option(
        help = "ip:port of a router's peer protocol; may be given several times, or in ALMONDHAVEN_ROUTERS.",
        envvar = "ALMONDHAVEN_ROUTERS",
    ).multiple()
    private val peerKeyFile by option(help = "File with the peer key; or the key itself in ALMONDHAVEN_PEER_KEY.")
        .file(mustExist = true, canBeDir = false)

    /** The routers named, or null when none are. */
    fun probeOrNull(): FleetProbe? {
        if (router.isEmpty()) return null
        val key =
            peerKeyFile?.readText()?.trim()
                ?: System.getenv("ALMONDHAVEN_PEER_KEY")
                ?: throw UsageError("give the peer key in --peer-key-file or in ALMONDHAVEN_PEER_KEY")
        return FleetProbe(RouterClient(PeerKeyRing(listOf(PeerKey(key)))), router)
    }

    /** The routers named; fails the command when none are. */
    fun probe(): FleetProbe =
        probeOrNull() ?: throw UsageError("name at least one router with --router or in ALMONDHAVEN_ROUTERS")
}

/** Hands the configuration in force to the routers named, if any; the platform's own watchers bring it to the others. */
internal fun CliktCommand.pushToRouters(
    routers: RouterOptions,
    platform: PlatformOptions,
) {
    val probe = routers.probeOrNull() ?: return
    platform.store.head().onRight { current ->
        val result = probe.push(current?.head?.catalogue ?: return)
        echo("in force on ${result.holding} of ${result.known} routers")
    }
}
