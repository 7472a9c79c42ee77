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

/** Says where this router stands, and takes configurations that operators push. */
internal class StatusReporter(
    private val network: PeerNetwork,
    private val holder: CatalogueHolder,
    private val freshness: ConfigurationFreshness,
    private val clock: NanoClock,
    private val lifecycle: Lifecycle,
) {
    private val loggedStale = AtomicBoolean()

    /** Whether the router takes callers and reaches the platform, as its other parts know it. */
    interface Lifecycle {
        val ready: Boolean
        val draining: Boolean
        val platformReachable: Boolean
    }

    init {
        network.handlers.register(PeerProtocol.STATUS) { statusText() }
        network.handlers.register(PeerProtocol.CONFIGURATION, ::takePushed)
    }

    /** Epoch milliseconds since which nobody within reach has confirmed the configuration; null while somebody has. */
    fun staleSince(): Long? {
        val now = clock.nanos()
        val since = if (holder.configured) freshness.staleSince(now, holder.generation) else null
        val age = since?.let { (now - it) / NANOS_PER_MILLISECOND }
        logChange(age)
        return age?.let { System.currentTimeMillis() - it }
    }

    fun status(): PeerStatus =
        PeerStatus(
            network.self.id,
            network.self.failureDomain,
            holder.generation,
            holder.digest,
            holder.inForceSince,
            staleSince(),
            lifecycle.platformReachable,
            lifecycle.ready,
            lifecycle.draining,
            members(),
        )

    private fun members(): List<PeerMember> {
        val suspects = network.suspects
        return network.view.members.map { PeerMember(it.id, it.failureDomain, it.peerAddress, it.id in suspects) }
    }

    private fun statusText(): String = PeerProtocol.json.encodeToString(PeerStatus.serializer(), status())

    private fun takePushed(body: String): String {
        val push = PeerProtocol.json.decodeFromString(ConfigurationPush.serializer(), body)
        val taken = holder.offer(push.catalogue)
        val held = ConfigurationHeld(holder.generation, taken)
        return PeerProtocol.json.encodeToString(ConfigurationHeld.serializer(), held)
    }

    private fun logChange(ageMillis: Long?) {
        val stale = ageMillis != null
        if (!loggedStale.compareAndSet(!stale, stale)) return
        val event = if (stale) LogEvent.CONFIGURATION_STALE else LogEvent.CONFIGURATION_CONFIRMED
        event.log(logger) { "generation=${holder.generation} unconfirmedMillis=${ageMillis ?: 0}" }
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
