package dev.almondhaven.router.order

import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.lease.LeaseSettings
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.decision.order.EngineOrderPlan
import dev.almondhaven.decision.order.PlannedOrder
import dev.almondhaven.engine.EngineOrder
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.settings.EngineOrderSettings
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStore
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

private val logger = KotlinLogging.logger {}

/**
 * Reconciles the versions that engines have loaded with those that the release notes assign to them. Each failure
 * domain has one lease, normally held by a router of that domain; only the holder of the lease sends orders to the
 * engines of the domain.
 */
internal class EngineOrderController(
    private val settings: EngineOrderSettings,
    private val catalogueHolder: CatalogueHolder,
    private val view: FleetView,
    private val objects: ObjectStore,
    private val clock: NanoClock,
    private val leaseSettings: LeaseSettings = LeaseSettings(orderLifetime = settings.callTimeout),
) : AutoCloseable {
    private val client = EngineClient(settings.callTimeout)
    private val groupsByDomain = HashMap<FailureDomainId, EngineGroup>()

    @Volatile
    private var actor: ActorThread<Unit>? = null

    private class EngineGroup(
        val lease: ObjectStoreLease,
    ) {
        var fencingToken: Long? = null
        var nextLoadAt = 0L
    }

    /** Starts the reconciliation if the settings enable it. */
    fun start() {
        if (!settings.enabled) return
        actor = ActorThread.start("engine-orders", MAILBOX_CAPACITY, settings.interval, onTick = ::tick) { tick() }
    }

    private fun tick() {
        val catalogue = catalogueHolder.catalogue
        val engines = catalogue.endpoints.filter { it.service == null }.groupBy { it.failureDomain }
        engines.forEach { (domain, endpoints) -> reconcile(catalogue, domain, endpoints, groupCount = engines.size) }
    }

    private fun reconcile(
        catalogue: Catalogue,
        domain: FailureDomainId,
        endpoints: List<Endpoint>,
        groupCount: Int,
    ) {
        val group = groupsByDomain.getOrPut(domain) { EngineGroup(newLease(domain)) }
        group.lease.advance(wanted = isPreferredHolder(domain))
        val fencingToken = group.lease.fencingTokenOrNull()
        val loadSpacing = 1.minutes / settings.loadsPerMinute * groupCount
        if (fencingToken != group.fencingToken) {
            logLeaseChange(domain, fencingToken)
            group.fencingToken = fencingToken
            group.nextLoadAt = clock.nanos() + loadSpacing.inWholeNanoseconds
        }
        if (fencingToken == null) return
        val allowedLoads = if (clock.nanos() >= group.nextLoadAt) 1 else 0
        val orders = EngineOrderPlan(catalogue, fetchReports(catalogue, endpoints)).orders(endpoints, allowedLoads)
        orders.forEach { send(group, it, loadSpacing) }
    }

    private fun isPreferredHolder(domain: FailureDomainId): Boolean {
        val candidates = view.membersOf(domain).ifEmpty { view.members }
        return RendezvousHash.choose(leaseKey(domain), candidates, count = 1) { it.id.value }.firstOrNull() == view.self
    }

    /**
     * Fetches the reports of [endpoints], and of those endpoints elsewhere that may take over versions that [endpoints]
     * have to unload.
     */
    private fun fetchReports(
        catalogue: Catalogue,
        endpoints: List<Endpoint>,
    ): Map<EndpointId, EngineReport> {
        val own = fetchReports(endpoints)
        val unwanted = endpoints.flatMap { own[it.id]?.desired.orEmpty() - it.versions.toSet() }.toSet()
        val elsewhere = catalogue.endpoints.filter { it !in endpoints && it.versions.any(unwanted::contains) }
        return own + fetchReports(elsewhere)
    }

    private fun fetchReports(endpoints: List<Endpoint>): Map<EndpointId, EngineReport> {
        val pendingReports = endpoints.map { it.id to client.fetchReport(it) }
        return buildMap {
            pendingReports.forEach { (id, report) -> report.join()?.let { put(id, it) } }
        }
    }

    /** Checks the lease again right before sending [order], because fetching the reports may have taken long. */
    private fun send(
        group: EngineGroup,
        order: PlannedOrder,
        loadSpacing: Duration,
    ) {
        val fencingToken = group.lease.fencingTokenOrNull() ?: return
        if (order.startsLoad) group.nextLoadAt = clock.nanos() + loadSpacing.inWholeNanoseconds
        val status = client.sendOrder(order.endpoint, EngineOrder(fencingToken, order.versions)).join()
        val event = if (status == HttpStatus.OK) LogEvent.ENGINE_ORDER_TAKEN else LogEvent.ENGINE_ORDER_FAILED
        event.log(logger) {
            "endpoint=${order.endpoint.id} versions=${order.versions} fencing=$fencingToken status=${status?.code()}"
        }
    }

    private fun logLeaseChange(
        domain: FailureDomainId,
        fencingToken: Long?,
    ) {
        val event = if (fencingToken != null) LogEvent.ENGINE_LEASE_HELD else LogEvent.ENGINE_LEASE_ENDED
        event.log(logger) { "domain=$domain fencing=$fencingToken" }
    }

    private fun newLease(domain: FailureDomainId) =
        ObjectStoreLease(ObjectKey(leaseKey(domain)), view.self.id, leaseSettings, objects, clock)

    private fun leaseKey(domain: FailureDomainId) = "leases/engine-orders/$domain"

    override fun close() {
        actor?.stop()
        client.close()
    }

    private companion object {
        const val MAILBOX_CAPACITY = 2
    }
}
