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
 * Carries out the operator's orders to move services to another version. Every router does so on its own evidence; what
 * one of them decides stands in the store's entry, written on condition that nobody has decided before, and binds all.
 * Lives on the event loop.
 */
internal class RollOutController(
    private val bounds: TrafficBounds,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val random: UniformRandomProvider,
    private val announce: (SessionAnnouncement) -> Unit,
) {
    private class Move(
        var order: RollOutOrder,
        val since: Long,
    ) {
        val plan = RollOutSchedule(order.within)
        val evidence = CanaryComparison()
        var asked: RollOutState? = null
    }

    private val moves = HashMap<ServiceId, Move>()
    private val sessions = HashMap<ServiceId, SessionVersions>()

    fun start() {
        loop.scheduleWithFixedDelay(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Takes an order as the store has it now. */
    fun ordered(order: RollOutOrder) {
        val held = moves[order.service]
        if (held == null || held.order.orderedAt != order.orderedAt || held.order.target != order.target) {
            moves[order.service] = Move(order, clock.nanos())
            announceCurrent(order)
        } else {
            held.order = order
        }
        LogEvent.ROLL_OUT_STATE.log(logger) {
            "service=${order.service} target=${order.target} state=${order.state} revision=${order.revision}"
        }
    }

    /** Takes a whole list of orders: what is missing is withdrawn. */
    fun listed(orders: List<RollOutOrder>) {
        moves.keys.retainAll(orders.map { it.service }.toSet())
        orders.forEach(::ordered)
    }

    fun withdrawn(service: ServiceId) {
        moves.remove(service)
    }

    /** The versions of [service] that may run a request of [session]; without a session, of the request [requestId]. */
    fun versionFor(
        service: ServiceId,
        session: String?,
        requestId: String,
    ): VersionConstraint {
        val move = moves[service] ?: return VersionConstraint.Any
        val old = VersionConstraint.Except(move.order.target)
        val new = VersionConstraint.Only(move.order.target)
        val never = VersionConstraint.Except(move.order.target, strict = true)
        return when (move.order.state) {
            RollOutState.DONE -> {
                new
            }

            RollOutState.ROLLED_BACK -> {
                never
            }

            else -> {
                if (move.asked ==
                    RollOutState.ROLLED_BACK
                ) {
                    never
                } else {
                    duringMove(move, session, requestId, old, new)
                }
            }
        }
    }

    private fun duringMove(
        move: Move,
        session: String?,
        requestId: String,
        old: VersionConstraint,
        new: VersionConstraint,
    ): VersionConstraint {
        val elapsed = clock.elapsed(move.since)
        val chosen = if (part(session ?: requestId) < move.plan.share(elapsed)) new else old
        if (session == null || move.plan.allowsSessionMoves(elapsed)) return chosen
        val held = sessionsOf(move.order.service).versionOf(session, clock.nanos()) ?: return chosen
        return if (held == move.order.target) new else old
    }

    private fun sessionsOf(service: ServiceId): SessionVersions =
        sessions.getOrPut(service) { SessionVersions(bounds.sessionGap) }

    /** Notes that an endpoint of [version] begins to run a request of [session]. */
    fun runBegins(
        service: ServiceId,
        session: String,
        version: String,
    ) {
        sessionsOf(service).recordStart(session, version, clock.nanos())
        announceHeld(service, ActiveSession(session, version, isRunning = true))
    }

    /** Notes that a run of [session] has ended at an endpoint of [version]. */
    fun runEnds(
        service: ServiceId,
        session: String,
        version: String,
    ) {
        sessionsOf(service).recordEnd(session, clock.nanos())
        announceHeld(service, ActiveSession(session, version, isRunning = false))
    }

    /** Takes what another router says of a session. */
    fun heard(note: SessionAnnouncement): Unit =
        sessionsOf(ServiceId(note.service)).recordRemoteRun(note.session, note.version, note.running, clock.nanos())

    /** Tells the other routers which sessions must not try the new version yet: their requests may reach any router. */
    private fun announceCurrent(order: RollOutOrder): Unit =
        sessionsOf(order.service).activeSessions(clock.nanos()).forEach { announceHeld(order.service, it) }

    private fun announceHeld(
        service: ServiceId,
        session: ActiveSession,
    ) {
        val move = moves[service] ?: return
        val elapsed = clock.elapsed(move.since)
        val settled = move.order.state == RollOutState.DONE || move.order.state == RollOutState.ROLLED_BACK
        if (settled || move.plan.allowsSessionMoves(elapsed) || session.version == move.order.target) return
        if (part(session.id) < move.plan.share(elapsed)) {
            announce(SessionAnnouncement(service.value, session.id, session.version, session.isRunning))
        }
    }

    private fun part(text: String): Double {
        val hash = Hashing.farmHashFingerprint64().hashUnencodedChars(text).asLong()
        return (hash ushr UNUSED_BITS).toDouble() / (1L shl (Long.SIZE_BITS - UNUSED_BITS))
    }

    /** Notes an answer of an endpoint of [version]. */
    fun answered(
        service: ServiceId,
        version: String,
        failed: Boolean,
    ) {
        val move = moves[service] ?: return
        if (move.order.state == RollOutState.DONE || move.order.state == RollOutState.ROLLED_BACK) return
        move.evidence.record(version == move.order.target, failed)
        if (failed && version == move.order.target && move.evidence.isCanaryWorse()) ask(move, RollOutState.ROLLED_BACK)
    }

    private fun tick() {
        moves.values.forEach { move ->
            val state = move.order.state
            val elapsed = clock.elapsed(move.since)
            when {
                state == RollOutState.DONE || state == RollOutState.ROLLED_BACK -> Unit
                move.plan.isComplete(elapsed) -> ask(move, RollOutState.DONE)
                state == RollOutState.ORDERED -> ask(move, RollOutState.RUNNING)
            }
        }
    }

    /** Asks for [state] after a short random pause, in which another router may have done so. */
    private fun ask(
        move: Move,
        state: RollOutState,
    ) {
        if (move.asked == state || move.asked == RollOutState.ROLLED_BACK) return
        move.asked = state
        LogEvent.ROLL_OUT_DECIDED.log(logger) { "service=${move.order.service} state=$state evidence=${move.evidence}" }
        val pause = if (state == RollOutState.ROLLED_BACK) 0L else random.nextLong(SPREAD_MILLIS)
        loop.schedule({ write(move, state) }, pause, TimeUnit.MILLISECONDS)
    }

    private fun write(
        move: Move,
        state: RollOutState,
    ) {
        val order = move.order
        if (order.state >= state) return
        if (moves[order.service] !== move) return
        store.call(StoreCall.setState(order, state), PATIENCE) { answer ->
            // A conflict means that the entry has changed; the watch brings what it is now, and the next tick asks again.
            if (answer?.status != OK) {
                LogEvent.STORE_CALL_FAILED.log(
                    logger,
                ) { "roll-out of ${order.service} to $state: status=${answer?.status}" }
                loop.schedule(
                    { askAgain(move, state) },
                    random.nextLong(SPREAD_MILLIS) + TICK_MILLIS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private fun askAgain(
        move: Move,
        state: RollOutState,
    ) {
        if (move.asked == state && move.order.state < state) write(move, state)
    }

    private companion object {
        const val OK = 200
        const val TICK_MILLIS = 200L
        const val SPREAD_MILLIS = 400L
        const val UNUSED_BITS = 11
        val PATIENCE = 1_000.milliseconds
    }
}
