package dev.almondhaven.router.endpoint

import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.endpoint.EndpointLimiter
import dev.almondhaven.decision.endpoint.EndpointPool
import dev.almondhaven.decision.endpoint.EndpointState
import dev.almondhaven.decision.endpoint.EndpointSubsetting
import dev.almondhaven.decision.endpoint.LoadReport
import dev.almondhaven.decision.endpoint.SlowStart
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.filter.AttemptResult
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Identifies a pool of endpoints by the model version or plain service that they serve. */
public sealed interface PoolKey {
    public data class Version(
        public val id: ModelVersionId,
    ) : PoolKey

    public data class Service(
        public val id: ServiceId,
    ) : PoolKey
}

/**
 * Maintains the state of all endpoints on one actor thread: rebuilds the pools whenever the catalogue or the fleet
 * changes, and sets the endpoints' concurrency limits. Request filters read the pools without locks.
 *
 * A full mailbox drops load reports and attempt latencies; later ones make up for the loss. Health and slots are
 * updated directly, not through the mailbox.
 */
public class EndpointDirectory(
    private val holder: CatalogueHolder,
    private val fleet: FleetView,
    private val clock: NanoClock,
    private val ramp: SlowStart = SlowStart(),
    private val subset: EndpointSubsetting = EndpointSubsetting(),
    private val epochMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private sealed interface Message {
        data class ReportReceived(
            val id: EndpointId,
            val report: LoadReport,
            val takenAt: Long,
        ) : Message

        data class ReportMissing(
            val id: EndpointId,
        ) : Message

        data class ConnectionLost(
            val address: String,
        ) : Message

        data class AttemptEnded(
            val id: EndpointId,
            val result: AttemptResult,
            val timeToFirstToken: Duration?,
        ) : Message

        data class Refresh(
            val done: CompletableFuture<Unit>,
        ) : Message
    }

    /**
     * An endpoint in the catalogue.
     *
     * @property sharers routers that may send to the endpoint, among which its limit is divided while it ramps up.
     */
    private class KnownEndpoint(
        val state: EndpointState,
        val limiter: EndpointLimiter,
        var sharers: List<RouterId>,
    )

    private val known = HashMap<EndpointId, KnownEndpoint>()
    private val groups = HashMap<PoolKey, EjectionGroup>()
    private val handledReturns = HashMap<FailureDomainId, Long>()
    private var lastIndex: CatalogueIndex? = null
    private var lastMembers: List<Member> = emptyList()

    @Volatile
    private var pools: Map<PoolKey, EndpointPool> = emptyMap()

    @Volatile
    private var endpointsInUse: List<Endpoint> = emptyList()

    private val actor = ActorThread.start("endpoints", MAILBOX_CAPACITY, TICK_INTERVAL, ::tick, ::handle)

    /** Endpoints whose load reports this router polls. */
    internal val polledEndpoints: List<Endpoint> get() = endpointsInUse

    /** Messages dropped because the mailbox was full. */
    public val rejected: Long get() = actor.rejected

    /** The pool for [key]; null if none has been built yet. */
    public fun poolOrNull(key: PoolKey): EndpointPool? = pools[key]

    /** Completes once the pools reflect the current catalogue, or at once if the mailbox is full. */
    public fun refreshPools(): CompletableFuture<Unit> {
        val done = CompletableFuture<Unit>()
        if (!actor.offer(Message.Refresh(done))) done.complete(Unit)
        return done
    }

    /** Records a load report that describes endpoint [id] at [takenAt]. */
    public fun report(
        id: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        actor.offer(Message.ReportReceived(id, report, takenAt))
    }

    /** Records that endpoint [id] is reachable but reports no load. */
    public fun recordMissingLoadReport(id: EndpointId) {
        actor.offer(Message.ReportMissing(id))
    }

    /** Records that a connection to [address] closed. */
    public fun recordConnectionLost(address: String) {
        actor.offer(Message.ConnectionLost(address))
    }

    /** Records the end of an attempt on endpoint [id]. */
    public fun recordAttempt(
        id: EndpointId,
        result: AttemptResult,
        timeToFirstToken: Duration?,
    ) {
        actor.offer(Message.AttemptEnded(id, result, timeToFirstToken))
    }

    override fun close(): Unit = actor.close()

    private fun handle(message: Message) {
        when (message) {
            is Message.ReportReceived -> acceptReport(message)
            is Message.ReportMissing -> handleMissingReport(message.id)
            is Message.ConnectionLost -> handleConnectionLost(message.address)
            is Message.AttemptEnded -> handleAttemptEnd(message)
            is Message.Refresh -> refresh(message)
        }
    }

    private fun refresh(message: Message.Refresh) {
        tick()
        message.done.complete(Unit)
    }

    private fun acceptReport(message: Message.ReportReceived) {
        val endpoint = known[message.id] ?: return
        if (endpoint.limiter.acceptReport(message.report, message.takenAt)) {
            logCold(message.id, "the engine restarted: its start id changed")
        }
        endpoint.limiter.update(clock.nanos(), endpoint.sharers)
    }

    private fun handleMissingReport(id: EndpointId) {
        val endpoint = known[id] ?: return
        endpoint.limiter.recordNoLoadReport()
        endpoint.limiter.update(clock.nanos(), endpoint.sharers)
    }

    private fun handleConnectionLost(address: String) {
        val now = clock.nanos()
        known.values.filter { it.state.endpoint.address == address }.forEach { endpoint ->
            endpoint.limiter.recordConnectionLost(now)
            endpoint.limiter.update(now, endpoint.sharers)
        }
    }

    private fun handleAttemptEnd(message: Message.AttemptEnded) {
        val endpoint = known[message.id] ?: return
        val now = clock.nanos()
        when (message.result) {
            AttemptResult.SUCCEEDED -> handleSuccess(endpoint, message, now)
            AttemptResult.OVERLOADED -> endpoint.limiter.recordOverload(now)
            AttemptResult.CONNECTION_LOST -> endpoint.limiter.recordConnectionLost(now)
            AttemptResult.FAILED, AttemptResult.ABANDONED -> Unit
        }
    }

    private fun handleSuccess(
        endpoint: KnownEndpoint,
        message: Message.AttemptEnded,
        now: Long,
    ) {
        val timeToFirstToken = message.timeToFirstToken ?: return
        if (endpoint.limiter.recordSuccess(timeToFirstToken, now)) {
            logCold(message.id, "the time to first token indicates a cold engine")
        }
    }

    private fun logCold(
        id: EndpointId,
        reason: String,
    ): Unit = LogEvent.ENDPOINT_COLD.log(logger) { "endpoint=$id reason=$reason" }

    private fun tick() {
        val index = holder.index
        val members = fleet.members
        if (index !== lastIndex || members != lastMembers) rebuild(index, members)
        val now = clock.nanos()
        known.values.forEach { it.limiter.update(now, it.sharers) }
        pools.values.forEach { it.updateAverageOtherRequests() }
    }

    private fun rebuild(
        index: CatalogueIndex,
        members: List<Member>,
    ) {
        val keys = keysOf(index)
        val endpointsByKey = keys.associateWith { endpointsOf(index, it) }
        retainOnly(endpointsByKey.values.flatten().associateBy { it.id })
        endpointsByKey.forEach { (key, endpoints) -> addEndpoints(key, endpoints, members) }
        rampReturnedDomains(index)
        pools = endpointsByKey.mapValues { (_, endpoints) -> poolOf(endpoints) }
        endpointsInUse =
            pools.values
                .flatMap { it.local + it.remote }
                .map { it.endpoint }
                .distinct()
        lastIndex = index
        lastMembers = members
    }

    /** Starts the ramp-up of all endpoints in failure domains whose return to service is not handled yet. */
    private fun rampReturnedDomains(index: CatalogueIndex) {
        known.values.forEach { endpoint ->
            val domain = index.failureDomain(endpoint.state.endpoint.failureDomain) ?: return@forEach
            if (domain.returnedAt == 0L ||
                handledReturns.put(domain.id, domain.returnedAt) == domain.returnedAt
            ) {
                return@forEach
            }
            val sinceReturn = maxOf(0, epochMillis() - domain.returnedAt).milliseconds
            val returnedAt = clock.nanos() - sinceReturn.inWholeNanoseconds
            known.values
                .filter { it.state.endpoint.failureDomain == domain.id }
                .forEach { it.limiter.recordDomainReturned(returnedAt) }
        }
    }

    private fun keysOf(index: CatalogueIndex): List<PoolKey> =
        index.catalogue.models.map { PoolKey.Version(it.id) } + index.catalogue.services.map { PoolKey.Service(it.id) }

    private fun endpointsOf(
        index: CatalogueIndex,
        key: PoolKey,
    ): List<Endpoint> =
        when (key) {
            is PoolKey.Version -> index.endpoints(key.id)
            is PoolKey.Service -> index.endpoints(key.id)
        }

    private fun retainOnly(retained: Map<EndpointId, Endpoint>) {
        val removed = known.filter { (id, endpoint) -> retained[id] != endpoint.state.endpoint }
        removed.values.forEach { it.state.health.retire() }
        known -= removed.keys
    }

    private fun addEndpoints(
        key: PoolKey,
        endpoints: List<Endpoint>,
        members: List<Member>,
    ) {
        val group = groups.getOrPut(key) { EjectionGroup() }
        subset.sharers(endpoints, members).forEach { (endpoint, sharers) ->
            known.getOrPut(endpoint.id) { newEndpoint(endpoint, group) }.sharers = sharers
        }
    }

    private fun newEndpoint(
        endpoint: Endpoint,
        group: EjectionGroup,
    ): KnownEndpoint {
        val state = EndpointState(endpoint, group)
        return KnownEndpoint(state, EndpointLimiter(state, fleet.self.id, ramp), emptyList())
    }

    private fun poolOf(endpoints: List<Endpoint>): EndpointPool {
        val (local, remote) = endpoints.partition { it.failureDomain == fleet.self.failureDomain }
        return EndpointPool(
            local = statesOf(subset.local(fleet.self.id, local)),
            remote = statesOf(subset.remote(fleet.self.id, remote)),
        )
    }

    private fun statesOf(endpoints: List<Endpoint>): List<EndpointState> = endpoints.map { known.getValue(it.id).state }

    private companion object {
        const val MAILBOX_CAPACITY = 16_384
        val TICK_INTERVAL = 50.milliseconds
    }
}
