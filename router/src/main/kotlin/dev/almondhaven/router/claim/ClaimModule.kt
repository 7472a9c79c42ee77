package dev.almondhaven.router.claim

import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.ClaimSettings
import dev.almondhaven.store.ObjectStore

/** Builds and owns the components of a router that handle claims. */
internal class ClaimModule(
    settings: ClaimSettings,
    objects: ObjectStore,
    clock: NanoClock,
    network: PeerNetwork,
    wallMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val writerLimits = ShardWriterLimits(writeInterval = settings.writeInterval)
    private val writerPool = ClaimWriterPool(objects, writerLimits, clock, wallMillis)
    private val ledger = AttemptLedger(network.self.id)
    private val peerProtocol =
        ClaimPeerProtocol({ network.view }, network.transport, writerPool, ledger, clock, settings.relayTimeout)
            .also { it.register(network.handlers) }

    /** Claims non-idempotent calls; belongs after admission and before endpoint selection in the filter chain. */
    val filter: RequestFilter = ClaimFilter(peerProtocol, ledger, clock, wallMillis, settings.dispatchBound)

    private val sweeper = ClaimSweeper(objects, network::view, wallMillis)

    /** Stops the sweeper, settles queued operations and stops the writers. */
    override fun close() {
        sweeper.close()
        writerPool.close()
    }
}
