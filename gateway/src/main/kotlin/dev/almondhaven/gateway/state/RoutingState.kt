package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.EndpointView
import dev.almondhaven.decision.traffic.RateShare
import dev.almondhaven.decision.traffic.SlidingRetryBudget
import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.traffic.CallerLimits
import dev.almondhaven.traffic.EndpointListing
import dev.almondhaven.traffic.RollOutOrder
import dev.almondhaven.traffic.TrafficBounds
import dev.almondhaven.traffic.TrafficConfiguration
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.EnumSet
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * What this router knows of the deployment: configuration, endpoints, evacuated failure domains and orders. Must be
 * used on the event loop only.
 */
internal class RoutingState(
    private val bounds: TrafficBounds,
    private val loop: EventLoop,
    private val clock: NanoClock,
) {
    /** Called with a failure domain and the milliseconds that it took to open a connection to an endpoint there. */
    var onConnected: (FailureDomainId, Double) -> Unit = { _, _ -> }
    private val services = HashMap<ServiceId, ServiceEndpoints>()

    /** The newest known configuration; its version never decreases. */
    var configuration: TrafficConfiguration? = null
        private set

    private val listedKinds = EnumSet.noneOf(StoreKind::class.java)

    /**
     * Whether everything that binds the choice of an endpoint is known. A router that started with a part of it could
     * send requests to an evacuated failure domain, to a version that was rolled back, or with a prompt that crashes
     * endpoints.
     */
    val isLoaded: Boolean get() = configuration != null && listedKinds.containsAll(KINDS_BINDING_PLACEMENT)
    var evacuatedDomains: Set<String> = emptySet()
    val rollOuts = HashMap<ServiceId, RollOutOrder>()

    /** Number of routers that share the bounds. */
    var routerCount = 1
        private set

    /** This router's place among them. */
    private var routerPosition = 0
    val limits: CallerLimits get() = configuration?.limits ?: CallerLimits.BEFORE_CONFIGURATION

    /** Sets the number of routers that share the bounds and this router's place among them, from 0. */
    fun setRouters(
        count: Int,
        position: Int,
    ) {
        require(position in 0 until count) { "position must be from 0 to ${count - 1}, got $position" }
        routerCount = count
        routerPosition = position
        services.values.forEach { it.retryBudget.slack = retrySlackShare() }
    }

    fun configure(next: TrafficConfiguration) {
        val previous = configuration
        if (previous != null && next.version <= previous.version) return
        configuration = next
        LogEvent.TRAFFIC_CONFIGURED.log(
            logger,
        ) { "version=${next.version} before=${previous?.version} routes=${next.routes.size}" }
    }

    /** Records that all objects of [kind] have been listed. */
    fun markListed(kind: StoreKind) {
        listedKinds += kind
    }

    /** The endpoint [id], or null if it is not known. */
    fun endpoint(id: EndpointId): EndpointHandle? = services.values.firstNotNullOfOrNull { it.endpoints[id] }

    /** Known endpoints of [service], including lapsed ones that may be listed again. */
    fun endpointsOf(service: ServiceId): Collection<EndpointHandle> = services[service]?.endpoints?.values.orEmpty()

    /** Whether the endpoint in [listing] takes new requests: it is neither draining nor in an evacuated failure domain. */
    fun takesRequests(listing: EndpointListing): Boolean =
        !listing.leaving && listing.failureDomain.value !in evacuatedDomains

    fun retryBudgetOf(service: ServiceId): SlidingRetryBudget = serviceEndpoints(service).retryBudget

    private fun serviceEndpoints(service: ServiceId): ServiceEndpoints =
        services.getOrPut(service) {
            val ratio = bounds.retryRatio * USED_BUDGET_SHARE
            ServiceEndpoints(service, SlidingRetryBudget(bounds.retryWindow, ratio, retrySlackShare()))
        }

    private fun retrySlackShare(): Double = bounds.retrySlack * USED_BUDGET_SHARE / routerCount

    /**
     * Applies a complete endpoint list. Endpoints missing from it are removed at [removeAt], or at once if that has
     * passed.
     */
    fun replaceEndpoints(
        listings: List<EndpointListing>,
        removeAt: Long,
    ) {
        listings.forEach(::update)
        val present = listings.map { it.id }.toSet()
        val missing = services.values.flatMap { it.endpoints.keys }.filter { it !in present }
        missing.forEach { remove(it, removeAt) }
    }

    fun update(listing: EndpointListing) {
        services.values.forEach { if (it.service != listing.service) it.endpoints.remove(listing.id)?.let(::close) }
        val endpoints = serviceEndpoints(listing.service).endpoints
        val existing = endpoints[listing.id]
        if (existing != null && existing.state.listing.address == listing.address) {
            existing.graceUntil = null
            logChange(existing.state.listing, listing)
            existing.state.update(listing, clock.nanos())
            return
        }
        existing?.let(::close)
        endpoints[listing.id] = newHandle(listing)
        LogEvent.ENDPOINT_LISTED.log(
            logger,
        ) { "endpoint=${listing.id} service=${listing.service} ${describe(listing)}" }
    }

    private fun logChange(
        before: EndpointListing,
        now: EndpointListing,
    ) {
        if (before.leaving == now.leaving && before.startedAtMillis == now.startedAtMillis &&
            !now.coldLeft.isPositive()
        ) {
            return
        }
        LogEvent.ENDPOINT_LISTED.log(logger) { "endpoint=${now.id} service=${now.service} ${describe(now)}" }
    }

    private fun describe(listing: EndpointListing): String =
        "address=${listing.address} domain=${listing.failureDomain} version=${listing.version} " +
            "leaving=${listing.leaving} coldLeft=${listing.coldLeft}"

    private fun newHandle(listing: EndpointListing): EndpointHandle {
        lateinit var endpoint: EndpointHandle
        val pool =
            ConnectionPool(
                loop,
                listing.address,
                { endpoint.lastReceivedAt = clock.nanos() },
                { onConnected(listing.failureDomain, it) },
            )
        val kvCacheTokens =
            configuration
                ?.services
                ?.get(listing.service)
                ?.engine
                ?.kvCacheTokens ?: DEFAULT_KV_CACHE_TOKENS
        endpoint =
            EndpointHandle(
                EndpointView(
                    listing,
                    serviceEndpoints(listing.service).ejectionGroup,
                    kvCacheTokens,
                    serviceEndpoints(listing.service).prefillSpeed,
                    clock.nanos(),
                    serviceEndpoints(listing.service).typicalPace,
                    { warmUpShare(listing) },
                    { statedShare(listing, it) },
                    ::takesRequests,
                ),
                pool,
            )
        return endpoint
    }

    private fun warmUpShare(listing: EndpointListing): RateShare {
        val perSecond = configuration?.services?.get(listing.service)?.coldRequestsPerSecond ?: 0.0
        return rateShare(listing, perSecond, burst = (bounds.warmUpOvershoot - 1) * perSecond + bounds.warmUpSlack)
    }

    private fun statedShare(
        listing: EndpointListing,
        perSecond: Double,
    ): RateShare = rateShare(listing, perSecond, burst = perSecond * STATED_BURST_SECONDS + STATED_BURST_REQUESTS)

    /** The turns of the routers begin with another router at each endpoint, so that no router is always the first. */
    private fun rateShare(
        listing: EndpointListing,
        perSecond: Double,
        burst: Double,
    ): RateShare =
        RateShare(
            perSecond = perSecond,
            burst = burst,
            routers = routerCount,
            position = (routerPosition + listing.id.hashCode()).mod(routerCount),
        )

    private fun close(endpoint: EndpointHandle) {
        endpoint.pool.close()
        endpoint.state.health.retire()
    }

    /** Removes an endpoint at [removeAt], or at once if that has passed, unless it is listed again before. */
    fun remove(
        id: EndpointId,
        removeAt: Long,
    ) {
        val owner = services.values.firstOrNull { id in it.endpoints } ?: return
        val endpoint = owner.endpoints.getValue(id)
        if (endpoint.graceUntil == null) {
            LogEvent.ENDPOINT_UNLISTED.log(logger) { "endpoint=$id service=${owner.service}" }
            endpoint.graceUntil = removeAt
        }
        if (removeAt - clock.nanos() > 0) {
            val delay = (removeAt - clock.nanos()) / NANOS_PER_MILLI + 1
            loop.schedule({ removeIfMissing(id) }, delay, TimeUnit.MILLISECONDS)
        } else {
            owner.endpoints.remove(id)?.let(::close)
        }
    }

    private fun removeIfMissing(id: EndpointId) {
        val owner = services.values.firstOrNull { id in it.endpoints } ?: return
        val until = owner.endpoints.getValue(id).graceUntil ?: return
        if (clock.nanos() - until >= 0) owner.endpoints.remove(id)?.let(::close)
    }

    companion object {
        private val KINDS_BINDING_PLACEMENT =
            setOf(
                StoreKind.ENDPOINTS,
                StoreKind.EVACUATIONS,
                StoreKind.ROLL_OUTS,
                StoreKind.ROUTERS,
                StoreKind.PROMPT_QUARANTINES,
            )
        private const val NANOS_PER_MILLI = 1_000_000L

        /**
         * KV cache capacity of one accelerator beside the weights of a large model; used until the configuration states
         * it.
         */
        private const val DEFAULT_KV_CACHE_TOKENS = 200_000L

        /** Requests above the rate that an endpoint states which it bears at once: those of so many seconds and so many more. */
        private const val STATED_BURST_SECONDS = 2.0
        private const val STATED_BURST_REQUESTS = 5.0

        /** Share of the retry bounds that is used; the rest is a margin for routers that count differently. */
        private const val USED_BUDGET_SHARE = 0.9

        /**
         * Entries that expired while the store was unreachable are listed again within this time after its recovery, or
         * their endpoint is gone.
         */
        val RELISTING_GRACE = 2_200.milliseconds
    }
}
