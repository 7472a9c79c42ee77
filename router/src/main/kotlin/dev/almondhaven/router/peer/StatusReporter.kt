package dev.almondhaven.router.peer

import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.peer.ConfigurationHeld
import dev.almondhaven.peer.ConfigurationPush
import dev.almondhaven.peer.PeerMember
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.peer.PeerStatus
import dev.almondhaven.router.controller.CatalogueHolder
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

/** Reports the status of this router to peers and operators, and accepts configurations that operators push. */
internal class StatusReporter(
    private val network: PeerNetwork,
    private val catalogueHolder: CatalogueHolder,
    private val freshness: ConfigurationFreshness,
    private val clock: NanoClock,
    private val lifecycle: Lifecycle,
) {
    private val isLoggedAsStale = AtomicBoolean()

    /** Lifecycle state of the router, as its other components know it. */
    interface Lifecycle {
        val ready: Boolean
        val draining: Boolean
        val platformReachable: Boolean
    }

    init {
        network.handlers.register(PeerProtocol.STATUS) { statusText() }
        network.handlers.register(PeerProtocol.CONFIGURATION, ::handlePush)
    }

    /**
     * Epoch milliseconds since which neither the platform nor a reachable peer has confirmed the configuration; null
     * while it is confirmed.
     */
    fun staleSince(): Long? {
        val now = clock.nanos()
        val since = if (catalogueHolder.configured) freshness.staleSince(now, catalogueHolder.generation) else null
        val age = since?.let { (now - it) / NANOS_PER_MILLISECOND }
        logStalenessChange(age)
        return age?.let { System.currentTimeMillis() - it }
    }

    fun status(): PeerStatus =
        PeerStatus(
            network.self.id,
            network.self.failureDomain,
            catalogueHolder.generation,
            catalogueHolder.digest,
            catalogueHolder.inForceSince,
            staleSince(),
            lifecycle.platformReachable,
            lifecycle.ready,
            lifecycle.draining,
            peerMembers(),
        )

    private fun peerMembers(): List<PeerMember> {
        val suspects = network.suspects
        return network.view.members.map { PeerMember(it.id, it.failureDomain, it.peerAddress, it.id in suspects) }
    }

    private fun statusText(): String = PeerProtocol.json.encodeToString(PeerStatus.serializer(), status())

    private fun handlePush(body: String): String {
        val push = PeerProtocol.json.decodeFromString(ConfigurationPush.serializer(), body)
        val taken = catalogueHolder.offer(push.catalogue)
        val held = ConfigurationHeld(catalogueHolder.generation, taken)
        return PeerProtocol.json.encodeToString(ConfigurationHeld.serializer(), held)
    }

    private fun logStalenessChange(ageMillis: Long?) {
        val stale = ageMillis != null
        if (!isLoggedAsStale.compareAndSet(!stale, stale)) return
        val event = if (stale) LogEvent.CONFIGURATION_STALE else LogEvent.CONFIGURATION_CONFIRMED
        event.log(logger) { "generation=${catalogueHolder.generation} unconfirmedMillis=${ageMillis ?: 0}" }
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
