package dev.almondhaven.gateway.state

import com.google.common.hash.Hashing
import dev.almondhaven.decision.traffic.ActiveSession
import dev.almondhaven.decision.traffic.AnswerTimes
import dev.almondhaven.decision.traffic.CanaryCounts
import dev.almondhaven.decision.traffic.CanaryEvidence
import dev.almondhaven.decision.traffic.SessionVersions
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.duty.RecurringTask
import dev.almondhaven.gateway.duty.forEachIsolated
import dev.almondhaven.gateway.peer.CanaryAnnouncement
import dev.almondhaven.gateway.peer.EvidenceSubject
import dev.almondhaven.gateway.peer.RollOutAnnouncer
import dev.almondhaven.gateway.peer.RollOutStatement
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
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Carries out the operator's orders to roll services out to another version. A router decides on its own evidence and
 * on what other routers announce; a decision is stored in the order's entry by a compare-and-set write, so that the
 * first decision binds all routers. A router that hears that another one has rejected a version stops using it at once,
 * and writes the decision itself if the other one does not.
 * Must be used on the event loop only.
 *
 * @property router identifies this start of the router: the counts of a process that was restarted begin anew, and add to
 *   those that it announced before.
 */
internal class RollOutController(
    private val router: String,
    private val bounds: TrafficBounds,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val random: UniformRandomProvider,
    private val announcer: RollOutAnnouncer,
    private val routerCount: () -> Int,
) {
    private val activeRollOuts = HashMap<ServiceId, ActiveRollOut>()
    private val sessions = HashMap<ServiceId, SessionVersions>()
    private val answerTimes = HashMap<ServiceId, AnswerTimes>()
    private val ageExchange = RollOutAgeExchange(announcer, clock, ::sessionsToAnnounce)

    /** The checks of the orders' progress. */
    val checks = RecurringTask(NAME, loop, CHECK_INTERVAL_MILLIS.milliseconds, action = ::checkProgress)

    fun start(): Unit = checks.resume()

    /** Applies the current state of an order from the store. */
    fun applyOrder(order: RollOutOrder) {
        val existing = activeRollOuts[order.service]
        if (existing == null || !existing.isOf(order)) {
            val rollOut = ActiveRollOut(order, clock.nanos())
            activeRollOuts[order.service] = rollOut
            ageExchange.askIfDue(rollOut)
            sessionsToAnnounce(rollOut).forEach(announcer::announceSession)
        } else {
            existing.order = order
            ageExchange.applyStored(existing)
        }
        LogEvent.ROLL_OUT_STATE.log(logger) {
            "service=${order.service} target=${order.target} state=${order.state} revision=${order.revision} " +
                "storedAge=${order.storedAge}"
        }
    }

    /** Tells that the list of routers is known or has changed. */
    fun routersChanged() {
        ageExchange.knowsRouters = true
        activeRollOuts.values.forEach(ageExchange::askIfDue)
    }

    /** Applies what the router at [sender] states about a roll-out; a statement about another order is ignored. */
    fun applyStatement(
        statement: RollOutStatement,
        sender: InetSocketAddress,
    ) {
        val rollOut = activeRollOuts[ServiceId(statement.service)] ?: return
        val isCurrent = rollOut.order.creationRevision == statement.order && rollOut.order.target == statement.target
        val elapsed = statement.elapsed()
        if (!isCurrent || rollOut.isDecided || elapsed == null) return
        ageExchange.apply(rollOut, elapsed, statement.asks, sender)
        if (statement.rejected) stopCanary(rollOut, "$sender")
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
                if (rollOut.isRejected) never else versionDuringRollOut(rollOut, session, requestId, old, new)
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
        val elapsed = rollOut.age.position(clock.nanos())
        val chosen = if (hashFraction(session ?: requestId) < rollOut.schedule.share(elapsed)) new else old
        val current = session?.let { sessionsOf(rollOut.order.service).versionOf(it, clock.nanos()) }
        return when {
            current == rollOut.order.target -> new
            current == null || rollOut.schedule.allowsSessionMoves(elapsed) -> chosen
            else -> old
        }
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
        announceSession(service, ActiveSession(session, version, isRunning = true))
    }

    /** Records that a request of [session] has ended at an endpoint of [version]. */
    fun runEnded(
        service: ServiceId,
        session: String,
        version: String,
    ) {
        sessionsOf(service).recordEnd(session, clock.nanos())
        announceSession(service, ActiveSession(session, version, isRunning = false))
    }

    /** Applies what another router announced about a session. */
    fun applyAnnouncement(announcement: SessionAnnouncement): Unit =
        sessionsOf(ServiceId(announcement.service)).recordRemoteRun(
            announcement.session,
            announcement.version,
            announcement.running,
            announcement.idleMillis.coerceAtLeast(0).milliseconds,
            clock.nanos(),
        )

    /** Sessions whose version other routers must know, since their requests may reach any router. */
    private fun sessionsToAnnounce(rollOut: ActiveRollOut): List<SessionAnnouncement> {
        val service = rollOut.order.service
        return sessionsOf(service)
            .activeSessions(clock.nanos())
            .filter { isToBeAnnounced(rollOut, it) }
            .map { SessionAnnouncement.of(service, it) }
    }

    private fun announceSession(
        service: ServiceId,
        session: ActiveSession,
    ) {
        val rollOut = activeRollOuts[service] ?: return
        if (!isToBeAnnounced(rollOut, session)) return
        announcer.announceSession(SessionAnnouncement.of(service, session))
    }

    /**
     * Whether another router would send [session] to the new version if it knew nothing of it. One that runs there is
     * announced as well: a router that missed the end of an earlier run would send it back to the old version.
     */
    private fun isToBeAnnounced(
        rollOut: ActiveRollOut,
        session: ActiveSession,
    ): Boolean {
        val elapsed = rollOut.age.position(clock.nanos())
        return !rollOut.isDecided && !rollOut.schedule.allowsSessionMoves(elapsed) &&
            hashFraction(session.id) < rollOut.schedule.canaryShare
    }

    private fun hashFraction(text: String): Double {
        val hash = Hashing.farmHashFingerprint64().hashUnencodedChars(text).asLong()
        return (hash ushr UNUSED_BITS).toDouble() / (1L shl (Long.SIZE_BITS - UNUSED_BITS))
    }

    /**
     * Records that an answer of [version] to [work] began after [millis] at an endpoint without a queue, as evidence
     * for or against the speed of the new version.
     */
    fun recordTime(
        service: ServiceId,
        version: String,
        work: TimedWork,
        millis: Double,
    ) {
        val times = answerTimes.getOrPut(service, ::AnswerTimes)
        val slow = times.isSlow(work.kind, millis, work.expectedMillis)
        val rollOut = activeRollOuts[service]
        if (rollOut?.order?.target != version) times.learn(work.kind, millis, work.expectedMillis)
        if (rollOut != null) record(rollOut, rollOut.slowness, work.route, version, slow)
    }

    /** Records a response of an endpoint of [version] to a request of [route] as evidence about the new version. */
    fun recordResponse(
        service: ServiceId,
        version: String,
        route: String,
        failed: Boolean,
    ) {
        val rollOut = activeRollOuts[service] ?: return
        record(rollOut, rollOut.failures, route, version, failed)
    }

    private fun record(
        rollOut: ActiveRollOut,
        evidence: CanaryEvidence,
        route: String,
        version: String,
        bad: Boolean,
    ) {
        if (rollOut.isDecided) return
        val isCanary = version == rollOut.order.target
        evidence.record(route, isCanary, bad)
        if (isCanary && bad) {
            announceCanary(rollOut)
            rejectIfWorse(rollOut)
        }
    }

    /** Announces the routes on which the canary has answered since the last announcement. */
    private fun announceCanary(rollOut: ActiveRollOut) {
        val counts = rollOut.ownCounts()
        val changed =
            counts.filter { (subject, now) ->
                now.canaryAnswers != (rollOut.announced[subject] ?: CanaryCounts()).canaryAnswers
            }
        if (changed.isEmpty()) return
        rollOut.announced = counts
        announce(rollOut, changed, rejected = false)
    }

    private fun announce(
        rollOut: ActiveRollOut,
        counts: Map<EvidenceSubject, CanaryCounts>,
        rejected: Boolean,
    ) {
        val service = rollOut.order.service.value
        val announcements =
            counts.map { (subject, own) ->
                CanaryAnnouncement.of(service, rollOut.order.creationRevision, router, subject, own, rejected)
            }
        announcer.announceCanary(service, announcements, rejected)
    }

    private fun rejectIfWorse(rollOut: ActiveRollOut) {
        if (rollOut.isRejected) return
        val tests = routerCount() * EVIDENCE_KINDS
        val judgesSlowness = routerCount() < FEWEST_ROUTERS_TO_POOL || rollOut.slowness.isRepresentative
        val isSlow = judgesSlowness && rollOut.slowness.isCanaryWorse(tests)
        if (!rollOut.failures.isCanaryWorse(tests) && !isSlow) return
        requestState(rollOut, RollOutState.ROLLED_BACK)
        announce(rollOut, rollOut.ownCounts(), rejected = true)
    }

    /** Applies what another router announced about a canary; an announcement about another order is ignored. */
    fun applyCanary(announcement: CanaryAnnouncement) {
        val rollOut = activeRollOuts[ServiceId(announcement.service)] ?: return
        if (rollOut.order.creationRevision != announcement.order || rollOut.isDecided) return
        val counts = announcement.counts() ?: return
        val evidence = if (announcement.slowness) rollOut.slowness else rollOut.failures
        evidence.recordAnnounced(announcement.router, announcement.route, counts)
        if (announcement.rejected) stopCanary(rollOut, announcement.router) else rejectIfWorse(rollOut)
    }

    /** Stops using the canary that [decider] has rejected, and writes the decision later if it is not stored by then. */
    private fun stopCanary(
        rollOut: ActiveRollOut,
        decider: String,
    ) {
        if (rollOut.isRejected) return
        rollOut.requestedState = RollOutState.ROLLED_BACK
        postponeRewrite(rollOut)
        LogEvent.ROLL_OUT_DECIDED.log(logger) {
            "service=${rollOut.order.service} state=${RollOutState.ROLLED_BACK} decider=$decider " +
                "evidence=${rollOut.failures} slow: ${rollOut.slowness}"
        }
        loop.schedule(
            { retryWrite(rollOut, RollOutState.ROLLED_BACK) },
            PEER_WRITE_MILLIS + random.nextLong(MAX_JITTER_MILLIS),
            TimeUnit.MILLISECONDS,
        )
    }

    private fun checkProgress(): Unit =
        activeRollOuts.values.filterNot { it.isDecided }.forEachIsolated(NAME, ::checkProgress)

    private fun checkProgress(rollOut: ActiveRollOut) {
        ageExchange.askIfDue(rollOut)
        forgetAnnouncedIfDue(rollOut)
        announceCanary(rollOut)
        rewriteIfOverdue(rollOut)
        val elapsed = rollOut.age.position(clock.nanos())
        if (rollOut.schedule.isComplete(elapsed)) {
            requestState(rollOut, RollOutState.DONE)
        } else if (rollOut.isAgeToBeStored(elapsed)) {
            storeAgeLater(rollOut)
        }
    }

    /** Lets all counts be announced again at times: an announcement may be lost, and a router that pools them restarted. */
    private fun forgetAnnouncedIfDue(rollOut: ActiveRollOut) {
        val now = clock.nanos()
        if (now - rollOut.repeatAnnouncementAt < 0) return
        rollOut.announced = emptyMap()
        rollOut.repeatAnnouncementAt = now + REPEAT_INTERVAL.inWholeNanoseconds
    }

    /** Stores the age after a random delay, unless another router does so meanwhile. */
    private fun storeAgeLater(rollOut: ActiveRollOut) {
        if (rollOut.isStoringAge || rollOut.requestedState != null) return
        rollOut.isStoringAge = true
        loop.schedule({ storeAge(rollOut) }, random.nextLong(MAX_JITTER_MILLIS), TimeUnit.MILLISECONDS)
    }

    private fun storeAge(rollOut: ActiveRollOut) {
        rollOut.isStoringAge = false
        val order = rollOut.order
        val elapsed = rollOut.age.elapsed(clock.nanos())
        val isCurrent =
            activeRollOuts[order.service] === rollOut && !rollOut.isDecided && rollOut.requestedState == null
        if (!isCurrent || !rollOut.isAgeToBeStored(elapsed)) return
        rollOut.isStoringAge = true
        store.call(StoreCall.setState(order, RollOutState.RUNNING, elapsed), WRITE_TIMEOUT) { response ->
            rollOut.isStoringAge = false
            if (response?.status == OK) {
                rollOut.recordStored(elapsed)
            } else {
                logFailedWrite(order, RollOutState.RUNNING, response)
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
        if (rollOut.requestedState == state || rollOut.isRejected) return
        rollOut.requestedState = state
        postponeRewrite(rollOut)
        LogEvent.ROLL_OUT_DECIDED.log(logger) {
            "service=${rollOut.order.service} state=$state evidence=${rollOut.failures} slow: ${rollOut.slowness}"
        }
        val delay = if (state == RollOutState.ROLLED_BACK) 0L else random.nextLong(MAX_JITTER_MILLIS)
        loop.schedule({ write(rollOut, state) }, delay, TimeUnit.MILLISECONDS)
    }

    /** Writes a requested state again whose write has been lost, as after a failure of the step that should have sent it. */
    private fun rewriteIfOverdue(rollOut: ActiveRollOut) {
        val state = rollOut.requestedState ?: return
        if (clock.nanos() - rollOut.rewriteAt >= 0) retryWrite(rollOut, state)
    }

    private fun postponeRewrite(rollOut: ActiveRollOut) {
        rollOut.rewriteAt = clock.nanos() + LONGEST_WRITE.inWholeNanoseconds
    }

    private fun write(
        rollOut: ActiveRollOut,
        state: RollOutState,
    ) {
        postponeRewrite(rollOut)
        val order = rollOut.order
        if (order.state >= state) return
        if (activeRollOuts[order.service] !== rollOut) return
        val elapsed = rollOut.age.elapsed(clock.nanos())
        store.call(StoreCall.setState(order, state, elapsed), WRITE_TIMEOUT) { response ->
            // A conflict means that the entry has changed; the watch delivers the new entry, and the next check
            // requests the state again.
            if (response?.status != OK) {
                logFailedWrite(order, state, response)
                loop.schedule(
                    { retryWrite(rollOut, state) },
                    random.nextLong(MAX_JITTER_MILLIS) + CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private fun logFailedWrite(
        order: RollOutOrder,
        state: RollOutState,
        response: StoreResponse?,
    ): Unit =
        LogEvent.STORE_CALL_FAILED.log(logger) {
            "roll-out of ${order.service} to $state: status=${response?.status}"
        }

    private fun retryWrite(
        rollOut: ActiveRollOut,
        state: RollOutState,
    ) {
        if (rollOut.requestedState == state && rollOut.order.state < state) write(rollOut, state)
    }

    private companion object {
        /** A router of a smaller fleet sees enough answers by itself. */
        const val FEWEST_ROUTERS_TO_POOL = 8

        const val NAME = "progress of roll-outs"
        const val OK = 200
        const val CHECK_INTERVAL_MILLIS = 200L
        const val MAX_JITTER_MILLIS = 400L

        /** Failures and slowness are tested separately. */
        const val EVIDENCE_KINDS = 2

        /** Time that the router which rejected a version has to store its decision. */
        const val PEER_WRITE_MILLIS = 800L

        /** The upper 53 bits of a hash are exactly representable in a [Double]. */
        const val UNUSED_BITS = 11
        val WRITE_TIMEOUT = 1_000.milliseconds
        val REPEAT_INTERVAL = 2.seconds

        /** Time from the request of a state until its write is answered or repeated, delays included. */
        val LONGEST_WRITE = 5.seconds
    }
}
