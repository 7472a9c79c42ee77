package dev.almondhaven.experiments.deployment

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.router.settings.SessionKeySetting
import dev.almondhaven.router.settings.SessionSettings
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI

/** Creates settings for the routers of one deployment, each on free loopback ports. */
internal class RouterSettingsFactory(
    private val sample: SampleDeployment,
    private val platform: URI,
) {
    private val peerAddresses = mutableListOf<String>()

    /** Settings of a new router in [domain] whose gossip seeds are all routers created before it. */
    fun create(domain: FailureDomainId): RouterSettings {
        val peerAddress = freeAddress()
        val settings =
            RouterSettings(
                process = ProcessSettings(domain, freeAddress()),
                platform = PlatformSettings(platform.toString()),
                sessions = SessionSettings(keys = listOf(SessionKeySetting("sample", SESSION_KEY))),
                peers = PeerSettings(peerAddress, listOf(PeerKey(PEER_KEY + sample.name)), peerAddresses.toList()),
            )
        peerAddresses += peerAddress
        return settings
    }

    private fun freeAddress(): String =
        ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { "$LOOPBACK:${it.localPort}" }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val SESSION_KEY = "session-key-of-the-sample-deployments"
        const val PEER_KEY = "peer-key-of-the-sample-"
    }
}
