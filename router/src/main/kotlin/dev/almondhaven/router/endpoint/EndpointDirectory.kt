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

/** What a pool serves. */
public sealed interface PoolKey {
    public data class Version(
        public val id: ModelVersionId,
    ) : PoolKey

    public data class Service(
        public val id: ServiceId,
    ) : PoolKey
}

/**
 * Keeps the router's knowledge of all endpoints, on one duty thread: builds the pools whenever catalogue or fleet
 * change, and sets the endpoints' limits. Request filters read the pools without locks.
 *
 * A full ring loses a load report or an attempt's latency, which the next one makes up for; health and slots don't go
 * through the ring.
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
        data class Reported(
            val id: EndpointId,
            val report: LoadReport,
            val takenAt: Long,
        ) : Message

        data class Reportless(
            val id: EndpointId,
        ) : Message

        data class ConnectionLost(
            val address: String,
        ) : Message

        data class Ended(
            val id: EndpointId,
            val result: AttemptResult,
            val firstToken: Duration?,
        ) : Message

        data class Refresh(
            val done: CompletableFuture<Unit>,
        ) : Message
    }

    private class Known(
        val state: EndpointState,
        val limiter: EndpointLimiter,
        var sharers: List<RouterId>,
    )

    private val known = HashMap<EndpointId, Known>()
    private val groups = HashMap<PoolKey, EjectionGroup>()
    private val returns = HashMap<FailureDomainId, Long>()
    private var builtFor: CatalogueIndex? = null
    private var builtWith: List<Member> = emptyList()

    @Volatile
    private var pools: Map<PoolKey, EndpointPool> = emptyMap()

    @Volatile
    private var polled: List<Endpoint> = emptyList()

    private val duty = ActorThread.start("endpoints", RING_CAPACITY, TICK, ::tick, ::handle)

    /** Endpoints whose load reports this router polls. */
    internal val polledEndpoints: List<Endpoint> get() = polled

    /** Messages lost to a full ring. */
    public val rejected: Long get() = duty.rejected

    /** The pool of [key]; null when none has been built yet. */
    public fun poolOrNull(key: PoolKey): EndpointPool? = pools[key]

    /** Completes once the pools reflect the catalogue in force now. */
    public fun refreshPools(): CompletableFuture<Unit> {
        val done = CompletableFuture<Unit>()
        if (!duty.offer(Message.Refresh(done))) done.complete(Unit)
        return done
    }

    /** Takes a load report that describes [id] at [takenAt]. */
    public fun report(
        id: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        duty.offer(Message.Reported(id, report, takenAt))
    }

    /** Notes that [id] answers but reports no load. */
    public fun recordMissingLoadReport(id: EndpointId) {
        duty.offer(Message.Reportless(id))
    }

    /** Notes that a connection to [address] closed. */
    public fun recordConnectionLost(address: String) {
        duty.offer(Message.ConnectionLost(address))
    }

    /** Notes the end of an attempt at [id]. */
    public fun recordAttempt(
        id: EndpointId,
        result: AttemptResult,
        firstToken: Duration?,
    ) {
        duty.offer(Message.Ended(id, result, firstToken))
    }

    override fun close(): Unit = duty.close()

    private fun handle(message: Message) {
        when (message) {
            is Message.Reported -> accept(message)
            is Message.Reportless -> reportless(message.id)
            is Message.ConnectionLost -> connectionLost(message.address)
            is Message.Ended -> ended(message)
            is Message.Refresh -> refresh(message)
        }
    }

    private fun refresh(message: Message.Refresh) {
        tick()
        message.done.complete(Unit)
    }

    private fun accept(message: Message.Reported) {
        val endpoint = known[message.id] ?: return
        if (endpoint.limiter.acceptReport(message.report, message.takenAt)) logCold(message.id, "a new start id")
        endpoint.limiter.update(clock.nanos(), endpoint.sharers)
    }

    private fun reportless(id: EndpointId) {
        val endpoint = known[id] ?: return
        endpoint.limiter.recordNoLoadReport()
        endpoint.limiter.update(clock.nanos(), endpoint.sharers)
    }

    private fun connectionLost(address: String) {
        val now = clock.nanos()
        known.values.filter { it.state.endpoint.address == address }.forEach { endpoint ->
            endpoint.limiter.recordConnectionLost(now)
            endpoint.limiter.update(now, endpoint.sharers)
        }
    }

    private fun ended(message: Message.Ended) {
        val endpoint = known[message.id] ?: return
        val now = clock.nanos()
        when (message.result) {
            AttemptResult.SUCCEEDED -> succeeded(endpoint, message, now)
            AttemptResult.OVERLOADED -> endpoint.limiter.recordOverload(now)
            AttemptResult.CONNECTION_LOST -> endpoint.limiter.recordConnectionLost(now)
            AttemptResult.FAILED, AttemptResult.ABANDONED -> Unit
        }
    }

    private fun succeeded(
        endpoint: Known,
        message: Message.Ended,
        now: Long,
    ) {
        val firstToken = message.firstToken ?: return
        if (endpoint.limiter.recordSuccess(firstToken, now)) logCold(message.id, "latency collapsed")
    }

    private fun logCold(
        id: EndpointId,
        reason: String,
    ): Unit = LogEvent.ENDPOINT_COLD.log(logger) { "endpoint=$id reason=$reason" }

    private fun tick() {
        val index = holder.index
        val members = fleet.members
        if (index !== builtFor || members != builtWith) rebuild(index, members)
        val now = clock.nanos()
        known.values.forEach { it.limiter.update(now, it.sharers) }
        pools.values.forEach { it.updateAverageOtherRequests() }
    }

    private fun rebuild(
        index: CatalogueIndex,
        members: List<Member>,
    ) {
        val keys = keysOf(index)
        val served = keys.associateWith { endpointsOf(index, it) }
        forgetAllBut(served.values.flatten().associateBy { it.id })
        served.forEach { (key, endpoints) -> learn(key, endpoints, members) }
        rampReturned(index)
        pools = served.mapValues { (_, endpoints) -> poolOf(endpoints) }
        polled =
            pools.values
                .flatMap { it.local + it.remote }
                .map { it.endpoint }
                .distinct()
        builtFor = index
        builtWith = members
    }

    /** Ramps the endpoints of failure domains whose return this router hasn't seen yet. */
    private fun rampReturned(index: CatalogueIndex) {
        known.values.forEach { endpoint ->
            val domain = index.failureDomain(endpoint.state.endpoint.failureDomain) ?: return@forEach
            if (domain.returnedAt == 0L ||
                returns.put(domain.id, domain.returnedAt) == domain.returnedAt
            ) {
                return@forEach
            }
            val sinceReturn = maxOf(0, epochMillis() - domain.returnedAt).milliseconds
            val at = clock.nanos() - sinceReturn.inWholeNanoseconds
            known.values
                .filter { it.state.endpoint.failureDomain == domain.id }
                .forEach { it.limiter.recordDomainReturned(at) }
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

    private fun forgetAllBut(kept: Map<EndpointId, Endpoint>) {
        val gone = known.filter { (id, held) -> kept[id] != held.state.endpoint }
        gone.values.forEach { it.state.health.retire() }
        known -= gone.keys
    }

    private fun learn(
        key: PoolKey,
        endpoints: List<Endpoint>,
        members: List<Member>,
    ) {
        val group = groups.getOrPut(key) { EjectionGroup() }
        subset.sharers(endpoints, members).forEach { (endpoint, sharers) ->
            known.getOrPut(endpoint.id) { newlyKnown(endpoint, group) }.sharers = sharers
        }
    }

    private fun newlyKnown(
        endpoint: Endpoint,
        group: EjectionGroup,
    ): Known {
        val state = EndpointState(endpoint, group)
        return Known(state, EndpointLimiter(state, fleet.self.id, ramp), emptyList())
    }

    private fun poolOf(endpoints: List<Endpoint>): EndpointPool {
        val (own, others) = endpoints.partition { it.failureDomain == fleet.self.failureDomain }
        return EndpointPool(
            local = statesOf(subset.local(fleet.self.id, own)),
            remote = statesOf(subset.remote(fleet.self.id, others)),
        )
    }

    private fun statesOf(endpoints: List<Endpoint>): List<EndpointState> = endpoints.map { known.getValue(it.id).state }

    private companion object {
        const val RING_CAPACITY = 16_384
        val TICK = 50.milliseconds
    }
}
