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
import dev.almondhaven.router.settings.parseSocketAddress
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
 * One router process, built from settings: the HTTP server for callers, the filter chain and the background
 * controllers.
 *
 * ```
 * Router.start(settings).use { router -> call(router.port) }
 * ```
 */
public class Router private constructor(
    private val settings: RouterSettings,
    platformObjects: ObjectStore,
) : AutoCloseable {
    private val clock = NanoClock.SYSTEM
    private val metrics = RouterMetrics()
    private val catalogueHolder = CatalogueHolder()
    private val staleAfter = settings.peers?.staleAfter ?: PeerSettings.DEFAULT_STALE_AFTER
    private val freshness = ConfigurationFreshness(staleAfter, clock.nanos())
    private val workers = EndpointClients.newWorkers(Runtime.getRuntime().availableProcessors())
    private val clients = EndpointClients(workers, settings.endpoints.connectTimeout, settings.endpoints.pingInterval)
    private val peers = PeerNetwork.open(settings.peers, settings.process.failureDomain)
    private val objects =
        guardedObjectStore(platformObjects, settings.platform, clock, metrics) { peers.view.members.size }
    private val sessions = SessionModule(settings.sessions, peers)
    private val endpointDirectory = EndpointDirectory(catalogueHolder, peers.view, clock)
    private val admissionQueue = AdmissionQueue(clock)
    private val limiter = UsageLimiter(catalogueHolder, peers.view, clock)
    private val loadReports = LoadReportPoller(endpointDirectory, clients, clock, settings.endpoints.statusInterval)
    private val peerController = settings.peers?.let { PeerController(peers, it, catalogueHolder, freshness, clock) }
    private val watcher =
        ConfigurationWatcher(objects, catalogueHolder, freshness, peers.view, settings.platform.watchWait, newRandom())
    private val statusReporter = StatusReporter(peers, catalogueHolder, freshness, clock, Lifecycle())
    private val billing = BillingController(settings.billing, objects, clock, peers, metrics)
    private val claims = ClaimModule(settings.claims, objects, clock, peers)
    private val modelSelection =
        ModelSelectionModule(
            catalogueHolder,
            peers.self.id,
            settings.choice,
            clock,
            routerCount = { peers.view.members.size },
        )
    private val engineOrders = EngineOrderController(settings.engineOrders, catalogueHolder, peers.view, objects, clock)
    private val server = buildServer()

    @Volatile
    private var draining = false

    /** The port on which the router listens for callers. */
    public val port: Int get() = server.activeLocalPort()

    /** This router's entry in the membership, as its peers see it. */
    public val self: Member get() = peers.self

    private inner class Lifecycle : StatusReporter.Lifecycle {
        override val ready: Boolean get() = isReady()
        override val draining: Boolean get() = this@Router.draining
        override val platformReachable: Boolean get() = watcher.platformReachable
    }

    private fun start() {
        registerGauges()
        peers.topics.register(limiter.gossip)
        clients.onConnectionClosed { address ->
            endpointDirectory.recordConnectionLost(address)
            loadReports.pollNow(address)
        }
        watcher.start()
        engineOrders.start()
        modelSelection.topics.forEach { peers.topics.register(it) }
        peers.handlers.register(RollOutReport.PEER_PATH, modelSelection.rollOutReportHandler)
        modelSelection.start()
        server.start().join()
        LogEvent.ROUTER_STARTED.log(logger) { "port=$port domain=${settings.process.failureDomain}" }
    }

    private fun registerGauges() {
        metrics.registerGauge("almondhaven_configuration_generation", "Generation in force on this router.") {
            catalogueHolder.generation.value.toDouble()
        }
        metrics.registerGauge(
            "almondhaven_configuration_stale_seconds",
            "Time unconfirmed by the platform; 0 when fresh.",
        ) {
            statusReporter.staleSince()?.let { (System.currentTimeMillis() - it) / MILLIS_PER_SECOND } ?: 0.0
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
            sessions.rememberedCount.toDouble()
        }
        metrics.registerGauge("almondhaven_peer_members", "Routers in this router's view, itself included.") {
            peers.view.members.size
                .toDouble()
        }
    }

    private fun buildFilterChain(): RequestHandler =
        filterChain(
            listOf(
                StaleConfigurationFilter({ catalogueHolder.generation }, statusReporter::staleSince),
                IdempotencyOutcomeFilter,
                OutOfServiceDomainFilter(catalogueHolder, settings.process.failureDomain),
                AuthenticationFilter(catalogueHolder),
                ParseFilter(catalogueHolder),
                ModelListFilter(catalogueHolder),
                sessions.createFilter(catalogueHolder),
                AdmissionFilter(settings.requests.inFlight, limiter),
                claims.filter,
                modelSelection.createFilter(),
                RetryFilter(settings.endpoints, clock),
                EndpointChoiceFilter(endpointDirectory, admissionQueue, clock),
            ),
            Dispatcher(
                catalogueHolder,
                modelSelection.policy,
                clients,
                clock,
                settings.endpoints.firstByteDeadline,
                settings.claims.runLimit,
            ),
        )

    private fun buildServer(): Server =
        Server
            .builder()
            .http(parseSocketAddress(settings.process.listen))
            .workerGroup(workers, false)
            .requestTimeoutMillis(0)
            .errorHandler(CallerErrorHandler)
            .maxRequestLength(settings.requests.bodyBytes)
            .gracefulShutdownTimeoutMillis(QUIET_PERIOD.inWholeMilliseconds, settings.drain.timeout.inWholeMilliseconds)
            .service("/health/live", HttpService { _, _ -> HttpResponse.of(HttpStatus.OK) })
            .service("/health/ready", HealthCheckService.of(HealthChecker { isReady() }))
            .service("/metrics", HttpService { _, _ -> metricsResponse() })
            .service(
                "prefix:/",
                CallerService(
                    buildFilterChain(),
                    metrics,
                    BillingRecorder(catalogueHolder, billing::offer),
                    settings.requests.requestTimeout,
                    clock,
                ),
            ).build()

    private fun isReady(): Boolean =
        catalogueHolder.configured && !draining && catalogueHolder.index.inService(settings.process.failureDomain)

    private fun metricsResponse(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.toPrometheusText())

    /**
     * Fails the readiness check, waits for the balancer to take the router out of rotation, and then closes as [close]
     * does.
     */
    public fun drain() {
        draining = true
        LogEvent.ROUTER_DRAINING.log(logger) { "delay=${settings.drain.balancerDelay}" }
        TimeUnit.NANOSECONDS.sleep(settings.drain.balancerDelay.inWholeNanoseconds)
        close()
    }

    /** Stops listening, waits for running requests up to the drain timeout, and then stops every component. */
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
        endpointDirectory.close()
        peers.close()
        modelSelection.close()
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

        /** Starts a router that uses the platform at the address in [settings]. */
        public fun start(settings: RouterSettings): Router =
            start(settings, HttpObjectStore(URI(settings.platform.address), settings.platform.callTimeout))

        /** Starts a router that uses [objects] as the platform's object store. */
        public fun start(
            settings: RouterSettings,
            objects: ObjectStore,
        ): Router = Router(settings, objects).also { it.start() }
    }
}
