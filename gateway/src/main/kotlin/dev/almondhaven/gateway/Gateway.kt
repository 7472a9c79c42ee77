package dev.almondhaven.gateway

import dev.almondhaven.decision.traffic.EndpointPlacement
import dev.almondhaven.decision.traffic.ModelCascade
import dev.almondhaven.gateway.call.CallContext
import dev.almondhaven.gateway.call.CallHandler
import dev.almondhaven.gateway.call.Watchdog
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.peer.PeerMessenger
import dev.almondhaven.gateway.state.ConfigurationWatcher
import dev.almondhaven.gateway.state.HttpStoreClient
import dev.almondhaven.gateway.state.KindWatcher
import dev.almondhaven.gateway.state.Lifecycle
import dev.almondhaven.gateway.state.RollOutController
import dev.almondhaven.gateway.state.RoutingState
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.traffic.RouterPlace
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.apache.commons.rng.simple.RandomSource
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * The router as it serves on the platform: callers on one side, endpoints on the other, the platform's store for what all
 * routers must agree on. One thread carries requests and state; nothing is shared between threads.
 */
internal class Gateway private constructor(
    private val place: RouterPlace,
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = NanoClock.SYSTEM
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create()
    private val lifecycle = Lifecycle(clock)
    private val routing = RoutingState(place.bounds, loop, clock)
    private val store = HttpStoreClient(loop, place.storeAddress, clock)
    private val proof = ConfigurationWatcher(place.bounds, store, loop, clock, ::configure)
    private val peers = PeerMessenger(group, place.peerAddress, loop, clock, routing)
    private val rollOuts = RollOutController(place.bounds, store, loop, clock, random, peers::sessionRuns)
    private val context =
        CallContext(
            routing,
            proof,
            rollOuts,
            EndpointPlacement(place.failureDomain),
            ModelCascade(),
            peers,
            Watchdog(loop),
            lifecycle,
            loop,
            clock,
            random,
        )
    private val callers = CallerServer(group, routing::limits, lifecycle::stopping, CallHandler(context))
    private val balancer = CallerServer(group, routing::limits, { false }, ReadinessHandler(::ready))

    private fun ready(): Boolean =
        !lifecycle.stopping && routing.configuration != null && routing.endpointsKnown && proof.fresh

    /** The port on which callers are served. */
    var callerPort = 0
        private set

    private fun start() {
        callerPort = (callers.listen(place.callerAddress).localAddress() as InetSocketAddress).port
        balancer.listen(place.readyAddress)
        peers.listen()
        loop.execute {
            peers.onSession = rollOuts::heard
            proof.start()
            follow(StoreKind.ENDPOINTS, ::endpointsListed, ::endpointsChanged)
            follow(StoreKind.EVACUATIONS, ::evacuationsListed, ::evacuationsChanged)
            follow(StoreKind.ROLL_OUTS, {
                rollOuts.listed(it.mapNotNull(StoredObject::asRollOut))
            }, { it.forEach(::rollOutChanged) })
            follow(StoreKind.ROUTERS, ::routersListed, ::routersChanged)
            rollOuts.start()
            register()
        }
        LogEvent.ROUTER_STARTED.log(logger) {
            "router=${place.name} domain=${place.failureDomain} address=${place.callerAddress}"
        }
    }

    private fun follow(
        kind: StoreKind,
        onList: (List<StoredObject>) -> Unit,
        onChanges: (List<StoreChange>) -> Unit,
    ): Unit = KindWatcher(kind, store, loop, random, groupingOf(kind), onList, onChanges).start()

    /** How long changes of one kind may wait for others, so that one call brings them together. */
    private fun groupingOf(kind: StoreKind): Duration =
        when (kind) {
            StoreKind.ENDPOINTS -> place.bounds.drain / ENDPOINT_GROUPING_PARTS
            StoreKind.ROUTERS -> ROUTER_GROUPING
            else -> GROUPING
        }

    private fun configure(entry: StoredObject) {
        if (entry.name != StoreCall.CONFIGURATION_NAME) return
        val configuration = entry.asConfiguration()
        if (configuration == null) {
            LogEvent.STORE_ENTRY_UNREADABLE.log(logger) { "configuration revision=${entry.revision}" }
        } else {
            routing.configure(configuration)
        }
    }

    private fun endpointsListed(entries: List<StoredObject>): Unit =
        routing.listed(entries.mapNotNull(::endpoint), goneAt())

    private fun endpoint(entry: StoredObject) =
        entry.asEndpoint().also {
            if (it ==
                null
            ) {
                LogEvent.STORE_ENTRY_UNREADABLE.log(logger) { "endpoint=${entry.name} revision=${entry.revision}" }
            }
        }

    private fun endpointsChanged(changes: List<StoreChange>) {
        changes.forEach { change ->
            val listing = if (change.removed) null else endpoint(change.entry)
            if (listing ==
                null
            ) {
                routing.remove(EndpointId(change.entry.name), goneAt())
            } else {
                routing.update(listing)
            }
        }
    }

    /** When an entry that is missing now counts as gone: at once, unless the store has just come back. */
    private fun goneAt(): Long {
        val returned = store.recoveredAt ?: return clock.nanos()
        return maxOf(clock.nanos(), returned + RoutingState.LIST_RECOVERY.inWholeNanoseconds)
    }

    private fun evacuationsListed(entries: List<StoredObject>) {
        routing.evacuated = entries.filterNot { it.removed }.map { it.name }.toSet()
        LogEvent.EVACUATIONS_CHANGED.log(logger) { "domains=${routing.evacuated}" }
    }

    private fun evacuationsChanged(changes: List<StoreChange>) {
        changes.forEach { change ->
            val gone = change.removed || change.entry.removed
            routing.evacuated =
                if (gone) routing.evacuated - change.entry.name else routing.evacuated + change.entry.name
        }
        LogEvent.EVACUATIONS_CHANGED.log(logger) { "domains=${routing.evacuated}" }
    }

    private fun rollOutChanged(change: StoreChange) {
        val order = change.entry.asRollOut()
        when {
            change.removed || change.entry.removed -> rollOuts.withdrawn(ServiceId(change.entry.name))
            order != null -> rollOuts.ordered(order)
            else -> LogEvent.STORE_ENTRY_UNREADABLE.log(logger) { "roll-out=${change.entry.name}" }
        }
    }

    private val routers = HashMap<String, String?>()

    private fun routersListed(entries: List<StoredObject>) {
        routers.clear()
        entries.forEach { routers[it.name] = it.asPeer() }
        routersKnown()
    }

    private fun routersChanged(changes: List<StoreChange>) {
        changes.forEach {
            if (it.removed) {
                routers.remove(
                    it.entry.name,
                )
            } else {
                routers[it.entry.name] = it.entry.asPeer()
            }
        }
        routersKnown()
    }

    private fun routersKnown() {
        routing.routers = routers.size.coerceAtLeast(1)
        peers.known(routers.values.filterNotNull().filter { it != place.peerAddress })
    }

    /** Enters this router in the list by which the routers find each other and share their bounds. */
    private fun register() {
        store.call(StoreCall.register(place.name, place.peerAddress), REGISTER_PATIENCE) { answer ->
            when (answer?.status) {
                null -> loop.schedule(::register, REGISTER_AGAIN.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                StoreCall.CONFLICT -> StoreCall.entry(answer.body)?.let(::moveEntry)
                else -> Unit
            }
        }
    }

    /** Another VM had this one's name; its entry gets this one's address. */
    private fun moveEntry(held: StoredObject) {
        if (held.asPeer() == place.peerAddress) return
        store.call(StoreCall.moveRouter(held, place.peerAddress), REGISTER_PATIENCE) { answer ->
            if (answer == null) loop.schedule(::register, REGISTER_AGAIN.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    /** Serves what has come, takes no new connections, and returns when nothing is left or the grace is nearly over. */
    fun stop() {
        LogEvent.ROUTER_STOPPING.log(logger) { "router=${place.name}" }
        lifecycle.stop()
        val end = place.bounds.stopGrace - STOP_MARGIN
        while (lifecycle.stoppingFor() < end && (lifecycle.stoppingFor() < BALANCER_DELAY || busy())) {
            TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS)
            if (lifecycle.stoppingFor() >= BALANCER_DELAY) loop.submit { callers.closeIdle() }.get()
        }
        LogEvent.ROUTER_STOPPED.log(logger) { "router=${place.name} busy=${busy()}" }
    }

    private fun busy(): Boolean = loop.submit<Boolean> { callers.busy }.get()

    companion object {
        /** Small beside the seconds within which an order of the operator is in force. */
        private val GROUPING = 150.milliseconds

        /** Endpoints change most often, in groups during roll-outs; a leaving one is known in a third of its time. */
        private const val ENDPOINT_GROUPING_PARTS = 3

        /** Who shares the bounds changes only when routers start. */
        private val ROUTER_GROUPING = 2.seconds
        private val REGISTER_PATIENCE = 1_000.milliseconds
        private val REGISTER_AGAIN = 1.seconds

        /** The balancer asks each second, and stops sending connections after two refusals. */
        private val BALANCER_DELAY = 2_500.milliseconds

        /** Room to end before the process is killed. */
        private val STOP_MARGIN = 300.milliseconds
        private const val STOP_CHECK_MILLIS = 50L

        /** Starts serving at [place]. */
        fun start(place: RouterPlace): Gateway = Gateway(place).also { it.start() }
    }
}
