package dev.almondhaven.gateway

import dev.almondhaven.decision.distribution.RelayCandidate
import dev.almondhaven.decision.distribution.RelaySelection
import dev.almondhaven.decision.traffic.EndpointPlacement
import dev.almondhaven.decision.traffic.ModelCascade
import dev.almondhaven.gateway.call.BufferedBytes
import dev.almondhaven.gateway.call.CallContext
import dev.almondhaven.gateway.call.CallHandler
import dev.almondhaven.gateway.call.Watchdog
import dev.almondhaven.gateway.duty.Duty
import dev.almondhaven.gateway.duty.DutySupervisor
import dev.almondhaven.gateway.duty.HeapUse
import dev.almondhaven.gateway.duty.RecurringTask
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.peer.PeerMessenger
import dev.almondhaven.gateway.relay.HttpRelayConnector
import dev.almondhaven.gateway.relay.RelayHandler
import dev.almondhaven.gateway.relay.RelaySource
import dev.almondhaven.gateway.relay.StateFollower
import dev.almondhaven.gateway.state.ConfigurationWatcher
import dev.almondhaven.gateway.state.HttpStoreClient
import dev.almondhaven.gateway.state.KindHistory
import dev.almondhaven.gateway.state.KindWatcher
import dev.almondhaven.gateway.state.Lifecycle
import dev.almondhaven.gateway.state.PromptQuarantineController
import dev.almondhaven.gateway.state.RollOutController
import dev.almondhaven.gateway.state.RoutingState
import dev.almondhaven.gateway.state.StoreResponse
import dev.almondhaven.gateway.state.UnreadableEntries
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.traffic.CallerLimits
import dev.almondhaven.traffic.NodeSettings
import dev.almondhaven.traffic.RouterEntry
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.apache.commons.rng.simple.RandomSource
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * The router process: serves callers, sends their requests to endpoints, and uses the platform's store for what all
 * routers must agree on. A single thread handles requests and state, so no data is shared between threads.
 */
internal class Gateway private constructor(
    private val settings: NodeSettings,
    private val listener: ServerSocketChannel?,
    bufferedBytes: BufferedBytes,
    onLoopEnd: () -> Unit,
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val loopEnd = EventLoopEnd(loop, onLoopEnd)
    private val clock = NanoClock.SYSTEM
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create()
    private val lifecycle = Lifecycle(clock, settings.bounds.shutdownGracePeriod)
    private val routing = RoutingState(settings.bounds, loop, clock)
    private val kindWatchers = ArrayList<KindWatcher>()
    private val store = HttpStoreClient(loop, settings.storeAddress, clock)
    private val configurationWatcher =
        ConfigurationWatcher(
            settings.bounds,
            store,
            loop,
            clock,
            ::configure,
            ::catchUpTo,
            retryDelay = ::storeRetryDelay,
            onConfirmed = { relayHandler.answerAll() },
            isRelayed = { relaySelection.isLarge },
        )
    private val supervisor = DutySupervisor(loop)
    private val relay = Relay()
    private val relayHandler: RelayHandler = RelayHandler(relay, loop, clock)
    private val relaySelection: RelaySelection by lazy { RelaySelection(relayCandidate(settings.name, ownEntry)) }
    private val ownEntry = RouterEntry(settings.peerAddress, settings.failureDomain, settings.linkMegabits)
    private val follower =
        StateFollower(
            relaySelection,
            HttpRelayConnector(loop),
            configurationWatcher,
            kindWatchers,
            loop,
            clock,
            random,
            { routing.isLoaded },
            ::recordStoreRecovery,
        )

    /** Monotonic time in nanoseconds at which the store recovered, as a router that this one follows saw it. */
    private var relayedRecoveryAt: Long? = null
    private val peers = PeerMessenger(group, settings.peerAddress, loop, clock, routing, random)
    private val rollOuts =
        RollOutController(
            "${settings.name}/${random.nextLong().toULong().toString(radix = 36)}",
            settings.bounds,
            store,
            loop,
            clock,
            random,
            peers,
            routing::routerCount,
        )
    private val promptQuarantine =
        PromptQuarantineController(
            settings.name,
            store,
            loop,
            clock,
            random,
            peers,
            routing::routerCount,
            routing::endpoint,
        )
    private val placement = EndpointPlacement(settings.failureDomain)
    private val context =
        CallContext(
            routing,
            configurationWatcher,
            rollOuts,
            promptQuarantine,
            placement,
            ModelCascade(),
            peers,
            Watchdog(loop),
            lifecycle,
            loop,
            clock,
            random,
            bufferedBytes,
        )
    private val callerServer = CallerServer(group, routing::limits, lifecycle::isStopping, CallHandler(context))
    private val relayServer =
        CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, lifecycle::isStopping, relayHandler)
    private val readinessServer = CallerServer(group, routing::limits, { false }, ReadinessHandler(::isReady))

    private fun isReady(): Boolean =
        !lifecycle.isStopping && routing.isLoaded && configurationWatcher.isFresh && supervisor.areDutiesSound

    /** The port on which callers are served. */
    var callerPort = 0
        private set

    private fun start() {
        callerPort = (listenForCallers().localAddress() as InetSocketAddress).port
        readinessServer.listen(settings.readyAddress)
        peers.listen()
        relayServer.listen(settings.peerAddress)
        loop.execute {
            routing.onConnected = placement.distances::record
            peers.onSession = rollOuts::applyAnnouncement
            peers.onCanary = rollOuts::applyCanary
            peers.onRollOut = rollOuts::applyStatement
            peers.onPrompts = promptQuarantine::applyAnnouncement
            promptQuarantine.onQuarantine = context.watchdog::endQuarantined
            supervisor.start()
            supervisor.add(configurationWatcher.duty)
            configurationWatcher.start()
            follow(StoreKind.ENDPOINTS, ::endpointsListed, ::endpointsChanged)
            follow(StoreKind.EVACUATIONS, ::evacuationsListed, ::evacuationsChanged)
            follow(StoreKind.ROLL_OUTS, {
                rollOuts.replaceOrders(it.mapNotNull(::decodeRollOut))
            }, { it.forEach(::rollOutChanged) })
            follow(StoreKind.ROUTERS, ::routersListed, ::routersChanged)
            follow(StoreKind.PROMPT_QUARANTINES, promptQuarantine::replaceStored, promptQuarantine::updateStored)
            rollOuts.start()
            registration.step(::register)
            superviseTasks()
        }
        LogEvent.ROUTER_STARTED.log(logger) {
            "router=${settings.name} domain=${settings.failureDomain} address=${settings.callerAddress}"
        }
    }

    private fun superviseTasks() {
        listOf(follower.duty, registration).forEach(supervisor::add)
        val countLog = RecurringTask("counts in the log", loop, COUNT_LOG_INTERVAL, action = ::logCounts)
        listOf(context.watchdog.checks, relayHandler.checks, rollOuts.checks, countLog).forEach(supervisor::add)
    }

    /** Serves on the port that is open already, unless it is not the one of the settings. */
    private fun listenForCallers(): Channel {
        val open = listener ?: return callerServer.listen(settings.callerAddress)
        if (settings.callerAddress == "${open.localAddress}".substringAfter('/')) return callerServer.serve(open)
        open.close()
        return callerServer.listen(settings.callerAddress)
    }

    private fun follow(
        kind: StoreKind,
        onList: (List<StoredObject>) -> Unit,
        onChanges: (List<StoreChange>) -> Unit,
    ) {
        val onLoaded = { entries: List<StoredObject> ->
            onList(entries)
            routing.markListed(kind)
            relayHandler.onChange()
        }
        val onChanged = { changes: List<StoreChange> ->
            onChanges(changes)
            relayHandler.onChange()
        }
        val watcher =
            KindWatcher(
                KindHistory(kind),
                store,
                loop,
                random,
                batchDelayOf(kind),
                catchUpIntervalOf(kind),
                onLoaded,
                onChanged,
                FIRST_WATCH_DELAY,
            )
        kindWatchers += watcher
        supervisor.add(watcher.duty)
        watcher.start()
    }

    private fun catchUpTo(storeRevision: Long): Unit = kindWatchers.forEach { it.catchUp(storeRevision) }

    /** A leaving endpoint binds within the drain time, an operator's order within some seconds. */
    private fun catchUpIntervalOf(kind: StoreKind): Duration =
        when (kind) {
            StoreKind.ENDPOINTS -> ENDPOINT_CATCH_UP_INTERVAL
            StoreKind.EVACUATIONS, StoreKind.ROLL_OUTS -> ORDER_CATCH_UP_INTERVAL
            else -> CATCH_UP_INTERVAL
        }

    /** How long changes of one kind may wait, so that one call returns them together. */
    private fun batchDelayOf(kind: StoreKind): Duration =
        when (kind) {
            StoreKind.ENDPOINTS -> settings.bounds.drain / ENDPOINT_BATCH_DELAY_DIVISOR
            StoreKind.ROUTERS -> ROUTER_BATCH_DELAY
            else -> BATCH_DELAY
        }

    private val unreadableConfigurations = UnreadableEntries(StoreKind.CONFIGURATION)
    private val unreadableEndpoints = UnreadableEntries(StoreKind.ENDPOINTS)
    private val unreadableRollOuts = UnreadableEntries(StoreKind.ROLL_OUTS)

    private fun configure(entry: StoredObject) {
        if (entry.name != StoreCall.CONFIGURATION_NAME) return
        unreadableConfigurations.read(entry, StoredObject::asConfiguration)?.let(routing::configure)
    }

    private fun endpointsListed(entries: List<StoredObject>): Unit =
        routing.replaceEndpoints(entries.mapNotNull(::decodeEndpoint), removalTime())

    private fun decodeEndpoint(entry: StoredObject) = unreadableEndpoints.read(entry, StoredObject::asEndpoint)

    private fun endpointsChanged(changes: List<StoreChange>) {
        changes.forEach { change ->
            val listing = if (change.removed) null else decodeEndpoint(change.entry)
            if (listing ==
                null
            ) {
                routing.remove(EndpointId(change.entry.name), removalTime())
            } else {
                routing.update(listing)
            }
        }
    }

    /** When an entry that is now missing is removed: at once, unless the store has recovered recently. */
    private fun removalTime(): Long {
        val recoveredAt = listOfNotNull(store.recoveredAt, relayedRecoveryAt).maxOrNull() ?: return clock.nanos()
        return maxOf(clock.nanos(), recoveredAt + RoutingState.RELISTING_GRACE.inWholeNanoseconds)
    }

    private fun recordStoreRecovery(sinceRecovery: Duration) {
        relayedRecoveryAt = clock.nanos() - sinceRecovery.inWholeNanoseconds
    }

    /** What this router passes on to routers that follow it. */
    private inner class Relay : RelaySource {
        override val histories: List<KindHistory>
            get() = kindWatchers.map { it.history } + configurationWatcher.history
        override val isReader: Boolean
            get() =
                !lifecycle.isStopping && routing.isLoaded && follower.isReading && store.isReachable &&
                    confirmationAge < configurationWatcher.overdueAge
        override val confirmationAge: Duration get() = configurationWatcher.confirmationAge()
        override val sinceRecovery: Duration? get() = store.recoveredAt?.let { clock.elapsed(it) }
    }

    /** Followers that read the store while it is away test it less often than the routers that read for them. */
    private fun storeRetryDelay(): Duration =
        if (follower.isFallback) {
            FOLLOWER_STORE_RETRY_DELAY + FOLLOWER_STORE_RETRY_DELAY * random.nextDouble()
        } else {
            ConfigurationWatcher.RETRY_DELAY
        }

    private fun logCounts() {
        LogEvent.STORE_CALLS_COUNTED.log(logger) { "${store.callCounts}" }
        LogEvent.STATE_COUNTED.log(logger) { "${relay.histories.joinToString(" ")} ${HeapUse.now()} $supervisor" }
    }

    private fun evacuationsListed(entries: List<StoredObject>) {
        routing.evacuatedDomains = entries.filterNot { it.removed }.map { it.name }.toSet()
        LogEvent.EVACUATIONS_CHANGED.log(logger) { "domains=${routing.evacuatedDomains}" }
    }

    private fun evacuationsChanged(changes: List<StoreChange>) {
        changes.forEach { change ->
            val isRemoved = change.removed || change.entry.removed
            routing.evacuatedDomains =
                if (isRemoved) {
                    routing.evacuatedDomains - change.entry.name
                } else {
                    routing.evacuatedDomains + change.entry.name
                }
        }
        LogEvent.EVACUATIONS_CHANGED.log(logger) { "domains=${routing.evacuatedDomains}" }
    }

    private fun rollOutChanged(change: StoreChange) {
        if (change.removed || change.entry.removed) {
            rollOuts.withdrawOrder(ServiceId(change.entry.name))
        } else {
            decodeRollOut(change.entry)?.let(rollOuts::applyOrder)
        }
    }

    private fun decodeRollOut(entry: StoredObject) = unreadableRollOuts.read(entry, StoredObject::asRollOut)

    private val routers = HashMap<String, RouterEntry?>()
    private val registration = Duty("registration", loop, clock, ::register)

    private fun routersListed(entries: List<StoredObject>) {
        routers.clear()
        entries.forEach { routers[it.name] = it.asRouter() }
        updateRouters()
    }

    private fun routersChanged(changes: List<StoreChange>) {
        changes.forEach {
            if (it.removed) {
                routers.remove(
                    it.entry.name,
                )
            } else {
                routers[it.entry.name] = it.entry.asRouter()
            }
        }
        updateRouters()
    }

    private fun updateRouters() {
        val names = (routers.keys + settings.name).sorted()
        routing.setRouters(names.size, names.indexOf(settings.name))
        peers.setPeers(routers.values.mapNotNull { it?.peerAddress }.filter { it != settings.peerAddress })
        rollOuts.routersChanged()
        val candidates = routers.mapNotNull { (name, entry) -> entry?.let { relayCandidate(name, it) } }
        loop.execute { follower.setRouters(candidates) }
    }

    private fun relayCandidate(
        name: String,
        entry: RouterEntry,
    ) = RelayCandidate(name, entry.peerAddress, entry.failureDomain, entry.linkMegabits)

    /** Registers this router in the list through which the routers find each other and count who shares the bounds. */
    private fun register(): Unit =
        callToRegister(StoreCall.register(settings.name, ownEntry)) { response ->
            val isHeld = response.status == StoreCall.CONFLICT
            val held = if (isHeld) StoreCall.entry(StoreKind.ROUTERS, response.body) else null
            if (held == null || held.asRouter() == ownEntry) registration.pause() else updateEntry(held)
        }

    /** Updates an entry that another VM or an earlier version created under this router's name. */
    private fun updateEntry(held: StoredObject): Unit =
        callToRegister(StoreCall.updateRouter(held, ownEntry)) { registration.pause() }

    private fun callToRegister(
        call: StoreCall,
        onResponse: (StoreResponse) -> Unit,
    ) {
        registration.expectStepWithin(REGISTER_TIMEOUT)
        store.call(call, REGISTER_TIMEOUT) { response ->
            registration.step { if (response == null) registerLater() else onResponse(response) }
        }
    }

    private fun registerLater() {
        registration.expectStepWithin(REGISTER_RETRY_DELAY)
        val register = { registration.step(::register) }
        loop.schedule(register, REGISTER_RETRY_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /**
     * Finishes the requests in flight and closes the callers' port and connections; returns when none is left, or shortly
     * before the end of the grace period, when the requests that are left get their final response.
     */
    fun stop() {
        LogEvent.ROUTER_STOPPING.log(logger) { "router=${settings.name}" }
        val servers = listOf(callerServer, relayServer)
        val isBusy = !GracefulShutdown(lifecycle, loop, servers, settings.bounds.shutdownGracePeriod).run()
        LogEvent.ROUTER_STOPPED.log(logger) { "router=${settings.name} busy=$isBusy" }
    }

    /** Ends all calls and watches after [stop]. A process that exits doesn't need it. */
    fun close() {
        loopEnd.expect()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()
    }

    companion object {
        /** Short compared with the seconds within which an operator's order must take effect. */
        private val BATCH_DELAY = 150.milliseconds

        /**
         * Endpoints change most often, in bursts during roll-outs. A third of the drain time is short enough to stop
         * sending to an endpoint that is leaving.
         */
        private const val ENDPOINT_BATCH_DELAY_DIVISOR = 3

        /** The set of routers that share the bounds changes only when routers start. */
        private val ROUTER_BATCH_DELAY = 2.seconds

        /** Bounds the calls to a store that fails. */
        private val ENDPOINT_CATCH_UP_INTERVAL = 250.milliseconds

        /** Bounds the calls while endpoints change; with a lost watch, an order is still heard of within five seconds. */
        private val ORDER_CATCH_UP_INTERVAL = 2_500.milliseconds

        /** Routers and quarantines are also heard of from peers. */
        private val CATCH_UP_INTERVAL = 10.seconds

        /** Routers that restart together find within this time that another one reads for them. */
        private val FIRST_WATCH_DELAY = 300.milliseconds
        private val FOLLOWER_STORE_RETRY_DELAY = 1_000.milliseconds
        private val COUNT_LOG_INTERVAL = 15.seconds
        private val REGISTER_TIMEOUT = 1_000.milliseconds
        private val REGISTER_RETRY_DELAY = 1.seconds

        /**
         * Starts serving with [settings], on [listener] if that is the callers' port. [onLoopEnd] is called if the event
         * loop ends by itself: nothing is answered from then on.
         */
        fun start(
            settings: NodeSettings,
            listener: ServerSocketChannel? = null,
            bufferedBytes: BufferedBytes = BufferedBytes.ofHeap(),
            onLoopEnd: () -> Unit = {},
        ): Gateway = Gateway(settings, listener, bufferedBytes, onLoopEnd).also { it.start() }
    }
}
