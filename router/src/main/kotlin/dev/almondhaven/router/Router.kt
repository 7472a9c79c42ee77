package dev.almondhaven.router

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.healthcheck.HealthCheckService
import com.linecorp.armeria.server.healthcheck.HealthChecker
import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.rollout.RollOutReport
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.billing.BillingController
import dev.almondhaven.router.billing.BillingRecorder
import dev.almondhaven.router.claim.ClaimModule
import dev.almondhaven.router.claim.IdempotencyOutcomeFilter
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.controller.ConfigurationWatcher
import dev.almondhaven.router.controller.guardedObjectStore
import dev.almondhaven.router.endpoint.AdmissionQueue
import dev.almondhaven.router.endpoint.Dispatcher
import dev.almondhaven.router.endpoint.EndpointClients
import dev.almondhaven.router.endpoint.EndpointDirectory
import dev.almondhaven.router.endpoint.LoadReportPoller
import dev.almondhaven.router.filter.AdmissionFilter
import dev.almondhaven.router.filter.AuthenticationFilter
import dev.almondhaven.router.filter.EndpointChoiceFilter
import dev.almondhaven.router.filter.ModelListFilter
import dev.almondhaven.router.filter.OutOfServiceDomainFilter
import dev.almondhaven.router.filter.ParseFilter
import dev.almondhaven.router.filter.RequestHandler
import dev.almondhaven.router.filter.RetryFilter
import dev.almondhaven.router.filter.StaleConfigurationFilter
import dev.almondhaven.router.filter.filterChain
import dev.almondhaven.router.limit.UsageLimiter
import dev.almondhaven.router.order.EngineOrderController
import dev.almondhaven.router.peer.PeerController
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.peer.StatusReporter
import dev.almondhaven.router.session.SessionModule
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.router.settings.socketAddress
import dev.almondhaven.store.HttpObjectStore
import dev.almondhaven.store.ObjectStore
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.net.URI
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * One router process: the server for callers, the filter chain and the controllers, put together from settings.
 *
 * ```
 * Router.start(settings).use { router -> call(router.port) }
 * ```
 */
public class Router private constructor(
    private val settings: RouterSettings,
    platform: ObjectStore,
) : AutoCloseable {
    private val clock = NanoClock.SYSTEM
    private val metrics = RouterMetrics()
    private val holder = CatalogueHolder()
    private val staleAfter = settings.peers?.staleAfter ?: PeerSettings.DEFAULT_STALE_AFTER
    private val freshness = ConfigurationFreshness(staleAfter, clock.nanos())
    private val workers = EndpointClients.newWorkers(Runtime.getRuntime().availableProcessors())
    private val clients = EndpointClients(workers, settings.endpoints.connectTimeout, settings.endpoints.pingInterval)
    private val peers = PeerNetwork.open(settings.peers, settings.process.failureDomain)
    private val objects = guardedObjectStore(platform, settings.platform, clock, metrics) { peers.view.members.size }
    private val sessions = SessionModule(settings.sessions, peers)
    private val directory = EndpointDirectory(holder, peers.view, clock)
    private val admissionQueue = AdmissionQueue(clock)
    private val limiter = UsageLimiter(holder, peers.view, clock)
    private val loadReports = LoadReportPoller(directory, clients, clock, settings.endpoints.statusInterval)
    private val peerController = settings.peers?.let { PeerController(peers, it, holder, freshness, clock) }
    private val watcher =
        ConfigurationWatcher(objects, holder, freshness, peers.view, settings.platform.watchWait, newRandom())
    private val status = StatusReporter(peers, holder, freshness, clock, Lifecycle())
    private val billing = BillingController(settings.billing, objects, clock, peers, metrics)
    private val claims = ClaimModule(settings.claims, objects, clock, peers)
    private val choice =
        ModelSelectionModule(holder, peers.self.id, settings.choice, clock, routers = { peers.view.members.size })
    private val engineOrders = EngineOrderController(settings.engineOrders, holder, peers.view, objects, clock)
    private val server = buildServer()

    @Volatile
    private var draining = false

    /** Port for callers. */
    public val port: Int get() = server.activeLocalPort()

    /** This router as its peers know it. */
    public val self: Member get() = peers.self

    private inner class Lifecycle : StatusReporter.Lifecycle {
        override val ready: Boolean get() = takesWork()
        override val draining: Boolean get() = this@Router.draining
        override val platformReachable: Boolean get() = watcher.platformReachable
    }

    private fun start() {
        addGauges()
        peers.topics.register(limiter.gossip)
        clients.onConnectionClosed { address ->
            directory.recordConnectionLost(address)
            loadReports.pollNow(address)
        }
        watcher.start()
        engineOrders.start()
        choice.topics.forEach { peers.topics.register(it) }
        peers.handlers.register(RollOutReport.PEER_PATH, choice.reporting)
        choice.start()
        server.start().join()
        LogEvent.ROUTER_STARTED.log(logger) { "port=$port domain=${settings.process.failureDomain}" }
    }

    private fun addGauges() {
        metrics.registerGauge("almondhaven_configuration_generation", "Generation in force on this router.") {
            holder.generation.value.toDouble()
        }
        metrics.registerGauge(
            "almondhaven_configuration_stale_seconds",
            "Time unconfirmed by the platform; 0 when fresh.",
        ) {
            status.staleSince()?.let { (System.currentTimeMillis() - it) / MILLIS_PER_SECOND } ?: 0.0
        }
        metrics.registerGauge(
            "almondhaven_platform_reachable",
            "1 if the platform answered the last configuration call.",
        ) {
            if (watcher.platformReachable) 1.0 else 0.0
        }
        metrics.registerGauge(
            "almondhaven_sessions_remembered",
            "Sessions known by their id that this router remembers.",
        ) {
            sessions.remembered.toDouble()
        }
        metrics.registerGauge("almondhaven_peer_members", "Routers in this router's view, itself included.") {
            peers.view.members.size
                .toDouble()
        }
    }

    private fun chain(): RequestHandler =
        filterChain(
            listOf(
                StaleConfigurationFilter({ holder.generation }, status::staleSince),
                IdempotencyOutcomeFilter,
                OutOfServiceDomainFilter(holder, settings.process.failureDomain),
                AuthenticationFilter(holder),
                ParseFilter(holder),
                ModelListFilter(holder),
                sessions.filter(holder),
                AdmissionFilter(settings.requests.inFlight, limiter),
                claims.filter,
                choice.filter(),
                RetryFilter(settings.endpoints, clock),
                EndpointChoiceFilter(directory, admissionQueue, clock),
            ),
            Dispatcher(
                holder,
                choice.policy,
                clients,
                clock,
                settings.endpoints.firstByteDeadline,
                settings.claims.runLimit,
            ),
        )

    private fun buildServer(): Server =
        Server
            .builder()
            .http(socketAddress(settings.process.listen))
            .workerGroup(workers, false)
            .requestTimeoutMillis(0)
            .errorHandler(CallerErrorHandler)
            .maxRequestLength(settings.requests.bodyBytes)
            .gracefulShutdownTimeoutMillis(QUIET_PERIOD.inWholeMilliseconds, settings.drain.timeout.inWholeMilliseconds)
            .service("/health/live", HttpService { _, _ -> HttpResponse.of(HttpStatus.OK) })
            .service("/health/ready", HealthCheckService.of(HealthChecker { takesWork() }))
            .service("/metrics", HttpService { _, _ -> metricsResponse() })
            .service(
                "prefix:/",
                CallerService(
                    chain(),
                    metrics,
                    BillingRecorder(holder, billing::offer),
                    settings.requests.requestTimeout,
                    clock,
                ),
            ).build()

    private fun takesWork(): Boolean =
        holder.configured && !draining && holder.index.inService(settings.process.failureDomain)

    private fun metricsResponse(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.toPrometheusText())

    /** Fails readiness, gives the balancer time to take the router out, and then closes as [close] does. */
    public fun drain() {
        draining = true
        LogEvent.ROUTER_DRAINING.log(logger) { "delay=${settings.drain.balancerDelay}" }
        TimeUnit.NANOSECONDS.sleep(settings.drain.balancerDelay.inWholeNanoseconds)
        close()
    }

    /** Stops listening, lets running requests finish within the drain timeout, and stops. */
    override fun close() {
        LogEvent.ROUTER_STOPPING.log(logger)
        draining = true
        peerController?.close()
        engineOrders.close()
        server.stop().join()
        claims.close()
        billing.close()
        watcher.close()
        loadReports.close()
        admissionQueue.close()
        limiter.close()
        directory.close()
        peers.close()
        choice.close()
        clients.close()
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        LogEvent.ROUTER_STOPPED.log(logger)
    }

    /** Waits until the router has stopped. */
    public fun join(): Unit = server.blockUntilShutdown()

    public companion object {
        private val QUIET_PERIOD: Duration = 50.milliseconds
        private const val MILLIS_PER_SECOND = 1_000.0

        private fun newRandom(): UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create()

        /** Starts a router against the platform that [settings] name. */
        public fun start(settings: RouterSettings): Router =
            start(settings, HttpObjectStore(URI(settings.platform.address), settings.platform.callTimeout))

        /** Starts a router against [objects]. */
        public fun start(
            settings: RouterSettings,
            objects: ObjectStore,
        ): Router = Router(settings, objects).also { it.start() }
    }
}
