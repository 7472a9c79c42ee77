package dev.almondhaven.router.claim

import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.ClaimSettings
import dev.almondhaven.store.ObjectStore

/** The parts of one router that deal with claims, put together. */
internal class ClaimModule(
    settings: ClaimSettings,
    objects: ObjectStore,
    clock: NanoClock,
    network: PeerNetwork,
    wallMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val limits = ShardWriterLimits(writeInterval = settings.writeInterval)
    private val writers = ClaimWriterPool(objects, limits, clock, wallMillis)
    private val ledger = AttemptLedger(network.self.id)
    private val peers =
        ClaimPeerProtocol({ network.view }, network.transport, writers, ledger, clock, settings.relayTimeout)
            .also { it.register(network.handlers) }

    /** Claims non-idempotent calls; stands behind admission and before the choice of an endpoint. */
    val filter: RequestFilter = ClaimFilter(peers, ledger, clock, wallMillis, settings.dispatchBound)

    private val sweeper = ClaimSweeper(objects, network::view, wallMillis)

    /** Settles what still waits, and stops. */
    override fun close() {
        sweeper.close()
        writers.close()
    }
}
