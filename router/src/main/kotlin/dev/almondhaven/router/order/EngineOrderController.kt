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
 * The duty that orders engines to load and unload versions as the release notes say. The engines of one failure domain
 * have one lease, which a router of that domain holds; a router without the lease gives no order.
 */
internal class EngineOrderController(
    private val settings: EngineOrderSettings,
    private val holder: CatalogueHolder,
    private val view: FleetView,
    private val objects: ObjectStore,
    private val clock: NanoClock,
    private val leaseSettings: LeaseSettings = LeaseSettings(orderLifetime = settings.callTimeout),
) : AutoCloseable {
    private val client = EngineClient(settings.callTimeout)
    private val groups = HashMap<FailureDomainId, Group>()

    @Volatile
    private var duty: ActorThread<Unit>? = null

    private class Group(
        val lease: ObjectStoreLease,
    ) {
        var fencing: Long? = null
        var nextLoadAt = 0L
    }

    /** Starts the duty if the settings say so. */
    fun start() {
        if (!settings.enabled) return
        duty = ActorThread.start("engine-orders", RING, settings.interval, onTick = ::tick) { tick() }
    }

    private fun tick() {
        val catalogue = holder.catalogue
        val engines = catalogue.endpoints.filter { it.service == null }.groupBy { it.failureDomain }
        engines.forEach { (domain, endpoints) -> tend(catalogue, domain, endpoints, groupCount = engines.size) }
    }

    private fun tend(
        catalogue: Catalogue,
        domain: FailureDomainId,
        endpoints: List<Endpoint>,
        groupCount: Int,
    ) {
        val group = groups.getOrPut(domain) { Group(newLease(domain)) }
        group.lease.keep(wanted = isChosen(domain))
        val fencing = group.lease.fencing()
        val loadSpacing = 1.minutes / settings.loadsPerMinute * groupCount
        if (fencing != group.fencing) {
            noteHolding(domain, fencing)
            group.fencing = fencing
            group.nextLoadAt = clock.nanos() + loadSpacing.inWholeNanoseconds
        }
        if (fencing == null) return
        val loads = if (clock.nanos() >= group.nextLoadAt) 1 else 0
        val orders = EngineOrderPlan(catalogue, reports(catalogue, endpoints)).orders(endpoints, loads)
        orders.forEach { give(group, it, loadSpacing) }
    }

    private fun isChosen(domain: FailureDomainId): Boolean {
        val candidates = view.membersOf(domain).ifEmpty { view.members }
        return RendezvousHash.choose(key(domain), candidates, count = 1) { it.id.value }.firstOrNull() == view.self
    }

    /** Reports of [endpoints], and of those elsewhere that may replace what these are to unload. */
    private fun reports(
        catalogue: Catalogue,
        endpoints: List<Endpoint>,
    ): Map<EndpointId, EngineReport> {
        val own = ask(endpoints)
        val unwanted = endpoints.flatMap { own[it.id]?.desired.orEmpty() - it.versions.toSet() }.toSet()
        val elsewhere = catalogue.endpoints.filter { it !in endpoints && it.versions.any(unwanted::contains) }
        return own + ask(elsewhere)
    }

    private fun ask(endpoints: List<Endpoint>): Map<EndpointId, EngineReport> {
        val answers = endpoints.map { it.id to client.report(it) }
        return buildMap {
            answers.forEach { (id, answer) -> answer.join()?.let { put(id, it) } }
        }
    }

    /** Looks at the lease again right before each order, because reports may have taken long to come. */
    private fun give(
        group: Group,
        order: PlannedOrder,
        loadSpacing: Duration,
    ) {
        val fencing = group.lease.fencing() ?: return
        if (order.startsLoad) group.nextLoadAt = clock.nanos() + loadSpacing.inWholeNanoseconds
        val status = client.order(order.endpoint, EngineOrder(fencing, order.versions)).join()
        val event = if (status == HttpStatus.OK) LogEvent.ENGINE_ORDER_TAKEN else LogEvent.ENGINE_ORDER_FAILED
        event.log(logger) {
            "endpoint=${order.endpoint.id} versions=${order.versions} fencing=$fencing status=${status?.code()}"
        }
    }

    private fun noteHolding(
        domain: FailureDomainId,
        fencing: Long?,
    ) {
        val event = if (fencing != null) LogEvent.ENGINE_LEASE_HELD else LogEvent.ENGINE_LEASE_ENDED
        event.log(logger) { "domain=$domain fencing=$fencing" }
    }

    private fun newLease(domain: FailureDomainId) =
        ObjectStoreLease(ObjectKey(key(domain)), view.self.id, leaseSettings, objects, clock)

    private fun key(domain: FailureDomainId) = "leases/engine-orders/$domain"

    override fun close() {
        duty?.stop()
        client.close()
    }

    private companion object {
        const val RING = 2
    }
}
