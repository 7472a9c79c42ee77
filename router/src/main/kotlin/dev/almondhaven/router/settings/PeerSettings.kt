package dev.almondhaven.router.settings

import dev.almondhaven.peer.PeerKey
import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How this process finds and speaks to the other routers.
 *
 * @property listen `ip:port` for the peer protocol; also the address that the others are told.
 * @property keys shared secrets; the first one signs, all verify.
 * @property seeds `ip:port` of routers to ask first.
 * @property vmList address of the platform's list of VMs; null when there is none.
 * @property probeInterval time between two probes of other routers.
 * @property staleAfter time without a confirmation from the platform after which the configuration counts as stale.
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
    /** Everything that is wrong with the values themselves. */
    internal fun problems(): List<Problem> =
        buildList {
            addresses().forEach { (path, address) ->
                if (!RouterSettings.HOST_AND_PORT.matches(address)) {
                    add(Problem(path, address, "an IP number and port, such as 10.0.0.1:8081"))
                }
            }
            if (keys.isEmpty()) add(Problem("peers.keys", "[]", "at least one key"))
            keys.forEachIndexed { index, key ->
                if (key.secret.length < PeerKey.MINIMUM_LENGTH) {
                    add(Problem("peers.keys[$index]", "$key", "${PeerKey.MINIMUM_LENGTH} characters or more"))
                }
            }
            vmList?.let { if (!isHttp(it)) add(Problem("peers.vmList", it, "an http or https address")) }
            addAll(RouterSettings.positive("peers.probeInterval", probeInterval))
            addAll(RouterSettings.positive("peers.staleAfter", staleAfter))
        }

    private fun addresses(): List<Pair<String, String>> =
        listOf("peers.listen" to listen) + seeds.mapIndexed { index, seed -> "peers.seeds[$index]" to seed }

    private fun isHttp(address: String): Boolean {
        val scheme = runCatching { URI(address).scheme }.getOrNull()
        return scheme == "http" || scheme == "https"
    }

    internal companion object {
        val DEFAULT_STALE_AFTER: Duration = 45.seconds
    }
}
