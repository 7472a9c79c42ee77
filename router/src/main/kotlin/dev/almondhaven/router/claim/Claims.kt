package dev.almondhaven.router.claim

import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.platform.ObjectStore
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.peer.PeerHandler
import dev.almondhaven.router.peer.PeerTransport
import dev.almondhaven.router.settings.RouterSettings
import java.util.UUID

/** The parts of one router that deal with claims, put together. */
internal class Claims(
    settings: RouterSettings,
    objects: ObjectStore,
    clock: NanoClock,
    view: FleetView = alone(settings),
    transport: PeerTransport? = null,
    wallMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val limits = ShardWriterLimits(writeInterval = settings.claims.writeInterval)
    private val writers = ClaimWriters(objects, limits, clock, wallMillis)
    private val ledger = AttemptLedger(view.self.id)
    private val peers = ClaimPeers({ view }, transport, writers, ledger, clock, settings.claims.relayTimeout)

    /** Claims non-idempotent calls; stands behind admission and before the choice of an endpoint. */
    val filter: RequestFilter = ClaimFilter(peers, ledger, clock, wallMillis, settings.claims.dispatchBound)

    /** Handlers of the peer protocol, by path. */
    val handlers: Map<String, PeerHandler> get() = peers.handlers

    /** Settles what still waits, and stops. */
    override fun close(): Unit = writers.close()

    private companion object {
        fun alone(settings: RouterSettings): FleetView {
            val id = RouterId(UUID.randomUUID().toString())
            return FleetView.alone(Member(id, settings.process.failureDomain, settings.process.listen))
        }
    }
}
