package dev.almondhaven.router.settings

import dev.almondhaven.peer.PeerKey
import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the discovery of, and the communication with, other routers.
 *
 * @property listen `ip:port` on which the router listens for the peer protocol, and which it announces to its peers.
 * @property keys shared secrets; the first one signs messages, all of them verify messages.
 * @property seeds `ip:port` of the routers to contact first.
 * @property vmList URL of the platform's list of VMs; null if there is none.
 * @property probeInterval interval between probes of other routers.
 * @property staleAfter time without a confirmation by the platform after which the configuration is considered stale.
 */
@Serializable
public data class PeerSettings(
    public val listen: String,
    public val keys: List<PeerKey>,
    public val seeds: List<String> = emptyList(),
    public val vmList: String? = null,
    @Serializable(with = DurationText::class) public val probeInterval: Duration = 1.seconds,
    @Serializable(with = DurationText::class) public val staleAfter: Duration = DEFAULT_STALE_AFTER,
) {
    /** Validates the settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        buildList {
            addressesByPath().forEach { (path, address) ->
                if (!RouterSettings.IP_AND_PORT.matches(address)) {
                    add(Problem(path, address, "an IP number and port, such as 10.0.0.1:8081"))
                }
            }
            if (keys.isEmpty()) add(Problem("peers.keys", "[]", "at least one key"))
            keys.forEachIndexed { index, key ->
                if (key.secret.length < PeerKey.MINIMUM_LENGTH) {
                    add(Problem("peers.keys[$index]", "$key", "${PeerKey.MINIMUM_LENGTH} characters or more"))
                }
            }
            vmList?.let { if (!isHttpUrl(it)) add(Problem("peers.vmList", it, "an http or https address")) }
            addAll(RouterSettings.validatePositive("peers.probeInterval", probeInterval))
            addAll(RouterSettings.validatePositive("peers.staleAfter", staleAfter))
        }

    private fun addressesByPath(): List<Pair<String, String>> =
        listOf("peers.listen" to listen) + seeds.mapIndexed { index, seed -> "peers.seeds[$index]" to seed }

    private fun isHttpUrl(address: String): Boolean {
        val scheme = runCatching { URI(address).scheme }.getOrNull()
        return scheme == "http" || scheme == "https"
    }

    internal companion object {
        val DEFAULT_STALE_AFTER: Duration = 45.seconds
    }
}
