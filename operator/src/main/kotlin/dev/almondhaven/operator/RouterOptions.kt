package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.peer.PeerKeyRing

/** Options that name the routers to contact. A few are enough, since they report the others. */
internal class RouterOptions : OptionGroup(name = "Routers") {
    private val router by option(
        help = "ip:port of a router's peer protocol; repeatable, or set ALMONDHAVEN_ROUTERS.",
        envvar = "ALMONDHAVEN_ROUTERS",
    ).multiple()
    private val peerKeyFile by option(help = "File with the peer key; or set ALMONDHAVEN_PEER_KEY to the key itself.")
        .file(mustExist = true, canBeDir = false)

    /** A probe that starts at the given routers, or null if none are given. */
    fun probeOrNull(): FleetProbe? {
        if (router.isEmpty()) return null
        val key =
            peerKeyFile?.readText()?.trim()
                ?: System.getenv("ALMONDHAVEN_PEER_KEY")
                ?: throw UsageError("pass the peer key in --peer-key-file or in ALMONDHAVEN_PEER_KEY")
        return FleetProbe(RouterClient(PeerKeyRing(listOf(PeerKey(key)))), router)
    }

    /** A probe that starts at the given routers; fails the command if none are given. */
    fun probe(): FleetProbe =
        probeOrNull() ?: throw UsageError("pass at least one router with --router or in ALMONDHAVEN_ROUTERS")
}

/**
 * Pushes the configuration in force to the given routers and those that they know, if any are given. All other routers
 * get it by watching the platform.
 */
internal fun CliktCommand.pushToRouters(
    routers: RouterOptions,
    platform: PlatformOptions,
) {
    val probe = routers.probeOrNull() ?: return
    platform.store.head().onRight { latest ->
        val result = probe.push(latest?.head?.catalogue ?: return)
        echo("in force on ${result.holding} of ${result.known} routers")
    }
}
