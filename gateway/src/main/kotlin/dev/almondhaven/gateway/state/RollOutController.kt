package dev.almondhaven.gateway.state

import com.google.common.hash.Hashing
import dev.almondhaven.decision.traffic.ActiveSession
import dev.almondhaven.decision.traffic.CanaryComparison
import dev.almondhaven.decision.traffic.RollOutSchedule
import dev.almondhaven.decision.traffic.SessionVersions
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.peer.SessionAnnouncement
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.traffic.RollOutOrder
import dev.almondhaven.traffic.RollOutState
import dev.almondhaven.traffic.TrafficBounds
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Carries out the operator's orders to roll services out to another version. Every router decides on its own evidence;
 * a decision is stored in the order's entry by a compare-and-set write, so that the first decision binds all routers.
 * Must be used on the event loop only.
 */
internal class RollOutController(
    private val bounds: TrafficBounds,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val random: UniformRandomProvider,
    private val announce: (SessionAnnouncement) -> Unit,
) {
    private class ActiveRollOut(
        var order: RollOutOrder,
        val startedAt: Long,
    ) {
        val schedule = RollOutSchedule(order.within)
        val comparison = CanaryComparison()
        var requestedState: RollOutState? = null
    }

    private val activeRollOuts = HashMap<ServiceId, ActiveRollOut>()
    private val sessions = HashMap<ServiceId, SessionVersions>()

    fun start() {
        loop.scheduleWithFixedDelay(
            ::checkProgress,
            CHECK_INTERVAL_MILLIS,
            CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Applies the current state of an order from the store. */
    fun applyOrder(order: RollOutOrder) {
        val existing = activeRollOuts[order.service]
        if (existing == null || existing.order.creationRevision != order.creationRevision ||
            existing.order.target != order.target
        ) {
            activeRollOuts[order.service] = ActiveRollOut(order, clock.nanos())
            announceCurrentSessions(order)
        } else {
            existing.order = order
        }
        LogEvent.ROLL_OUT_STATE.log(logger) {
            "service=${order.service} target=${order.target} state=${order.state} revision=${order.revision}"
        }
    }

    /** Applies a complete list of orders; orders missing from it are withdrawn. */
    fun replaceOrders(orders: List<RollOutOrder>) {
        activeRollOuts.keys.retainAll(orders.map { it.service }.toSet())
        orders.forEach(::applyOrder)
    }

    fun withdrawOrder(service: ServiceId) {
        activeRollOuts.remove(service)
    }

    /**
     * The versions of [service] that may run a request of [session], or the request [requestId] if it has no session.
     */
    fun versionFor(
        service: ServiceId,
        session: String?,
        requestId: String,
    ): VersionConstraint {
        val rollOut = activeRollOuts[service] ?: return VersionConstraint.Any
        val old = VersionConstraint.Except(rollOut.order.target)
        val new = VersionConstraint.Only(rollOut.order.target)
        val never = VersionConstraint.Except(rollOut.order.target, strict = true)
        return when (rollOut.order.state) {
            RollOutState.DONE -> {
                new
            }

            RollOutState.ROLLED_BACK -> {
                never
            }

            else -> {
                if (rollOut.requestedState ==
                    RollOutState.ROLLED_BACK
                ) {
                    never
                } else {
                    versionDuringRollOut(rollOut, session, requestId, old, new)
                }
            }
        }
    }

    private fun versionDuringRollOut(
        rollOut: ActiveRollOut,
        session: String?,
        requestId: String,
        old: VersionConstraint,
        new: VersionConstraint,
    ): VersionConstraint {
        val elapsed = clock.elapsed(rollOut.startedAt)
        val chosen = if (hashFraction(session ?: requestId) < rollOut.schedule.share(elapsed)) new else old
        if (session == null || rollOut.schedule.allowsSessionMoves(elapsed)) return chosen
        val currentVersion = sessionsOf(rollOut.order.service).versionOf(session, clock.nanos()) ?: return chosen
        return if (currentVersion == rollOut.order.target) new else old
    }

    private fun sessionsOf(service: ServiceId): SessionVersions =
        sessions.getOrPut(service) { SessionVersions(bounds.sessionIdleTimeout) }

    /** Records that an endpoint of [version] starts to run a request of [session]. */
    fun runStarted(
        service: ServiceId,
        session: String,
        version: String,
    ) {
        sessionsOf(service).recordStart(session, version, clock.nanos())
        announceIfPinned(service, ActiveSession(session, version, isRunning = true))
    }

    /** Records that a request of [session] has ended at an endpoint of [version]. */
    fun runEnded(
        service: ServiceId,
        session: String,
        version: String,
    ) {
        sessionsOf(service).recordEnd(session, clock.nanos())
        announceIfPinned(service, ActiveSession(session, version, isRunning = false))
    }

    /** Applies what another router announced about a session. */
    fun applyAnnouncement(announcement: SessionAnnouncement): Unit =
        sessionsOf(ServiceId(announcement.service)).recordRemoteRun(
            announcement.session,
            announcement.version,
            announcement.running,
            clock.nanos(),
        )

    /** Announces which sessions must not move to the new version yet, since their requests may reach any router. */
    private fun announceCurrentSessions(order: RollOutOrder): Unit =
        sessionsOf(order.service).activeSessions(clock.nanos()).forEach { announceIfPinned(order.service, it) }

    private fun announceIfPinned(
        service: ServiceId,
        session: ActiveSession,
    ) {
        val rollOut = activeRollOuts[service] ?: return
        val elapsed = clock.elapsed(rollOut.startedAt)
        val isFinal = rollOut.order.state == RollOutState.DONE || rollOut.order.state == RollOutState.ROLLED_BACK
        if (isFinal || rollOut.schedule.allowsSessionMoves(elapsed) || session.version == rollOut.order.target) return
        if (hashFraction(session.id) < rollOut.schedule.share(elapsed)) {
            announce(SessionAnnouncement(service.value, session.id, session.version, session.isRunning))
        }
    }

    private fun hashFraction(text: String): Double {
        val hash = Hashing.farmHashFingerprint64().hashUnencodedChars(text).asLong()
        return (hash ushr UNUSED_BITS).toDouble() / (1L shl (Long.SIZE_BITS - UNUSED_BITS))
    }

    /** Records a response of an endpoint of [version] as evidence for or against the new version. */
    fun recordResponse(
        service: ServiceId,
        version: String,
        failed: Boolean,
    ) {
        val rollOut = activeRollOuts[service] ?: return
        if (rollOut.order.state == RollOutState.DONE || rollOut.order.state == RollOutState.ROLLED_BACK) return
        rollOut.comparison.record(version == rollOut.order.target, failed)
        if (failed && version == rollOut.order.target && rollOut.comparison.isCanaryWorse()) {
            requestState(rollOut, RollOutState.ROLLED_BACK)
        }
    }

    private fun checkProgress() {
        activeRollOuts.values.forEach { rollOut ->
            val state = rollOut.order.state
            val elapsed = clock.elapsed(rollOut.startedAt)
            when {
                state == RollOutState.DONE || state == RollOutState.ROLLED_BACK -> Unit
                rollOut.schedule.isComplete(elapsed) -> requestState(rollOut, RollOutState.DONE)
                state == RollOutState.ORDERED -> requestState(rollOut, RollOutState.RUNNING)
            }
        }
    }

    /**
     * Requests [state] after a random delay, during which another router may do so; a rollback is requested without
     * delay.
     */
    private fun requestState(
        rollOut: ActiveRollOut,
        state: RollOutState,
    ) {
        if (rollOut.requestedState == state || rollOut.requestedState == RollOutState.ROLLED_BACK) return
        rollOut.requestedState = state
        LogEvent.ROLL_OUT_DECIDED.log(logger) {
            "service=${rollOut.order.service} state=$state evidence=${rollOut.comparison}"
        }
        val delay = if (state == RollOutState.ROLLED_BACK) 0L else random.nextLong(MAX_JITTER_MILLIS)
        loop.schedule({ write(rollOut, state) }, delay, TimeUnit.MILLISECONDS)
    }

    private fun write(
        rollOut: ActiveRollOut,
        state: RollOutState,
    ) {
        val order = rollOut.order
        if (order.state >= state) return
        if (activeRollOuts[order.service] !== rollOut) return
        store.call(StoreCall.setState(order, state), WRITE_TIMEOUT) { response ->
            // A conflict means that the entry has changed; the watch delivers the new entry, and the next check
            // requests the state again.
            if (response?.status != OK) {
                LogEvent.STORE_CALL_FAILED.log(
                    logger,
                ) { "roll-out of ${order.service} to $state: status=${response?.status}" }
                loop.schedule(
                    { retryWrite(rollOut, state) },
                    random.nextLong(MAX_JITTER_MILLIS) + CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private fun retryWrite(
        rollOut: ActiveRollOut,
        state: RollOutState,
    ) {
        if (rollOut.requestedState == state && rollOut.order.state < state) write(rollOut, state)
    }

    private companion object {
        const val OK = 200
        const val CHECK_INTERVAL_MILLIS = 200L
        const val MAX_JITTER_MILLIS = 400L

        /** The upper 53 bits of a hash are exactly representable in a [Double]. */
        const val UNUSED_BITS = 11
        val WRITE_TIMEOUT = 1_000.milliseconds
    }
}
