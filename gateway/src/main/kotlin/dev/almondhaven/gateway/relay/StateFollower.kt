package dev.almondhaven.gateway.relay

import dev.almondhaven.decision.distribution.RelayCandidate
import dev.almondhaven.decision.distribution.RelaySelection
import dev.almondhaven.gateway.duty.Duty
import dev.almondhaven.gateway.net.HttpResult
import dev.almondhaven.gateway.state.ConfigurationWatcher
import dev.almondhaven.gateway.state.KindWatcher
import dev.almondhaven.gateway.state.RelayRequestTime
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.RelayAnswer
import dev.almondhaven.platform.StoreKind
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Follows the store through another router of the failure domain where [selection] names one, and pauses the watchers of
 * this router meanwhile. If no router that it asks gives a usable answer, the watchers read the store again. A step that
 * fails is followed by another request. Must be used on the event loop only.
 *
 * @property isReady whether this router has listed all kinds; until then it reads for itself, as no other may run.
 * @property onStoreRecovery called with the time since the store recovered, as the router that is asked saw it.
 */
internal class StateFollower(
    private val selection: RelaySelection,
    private val connector: RelayConnector,
    private val configuration: ConfigurationWatcher,
    private val kinds: List<KindWatcher>,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val random: UniformRandomProvider,
    private val isReady: () -> Boolean,
    private val onStoreRecovery: (Duration) -> Unit,
) {
    /** The router whose answers are in use; null while this router reads the store. */
    private var followed: RelayCandidate? = null
    private var isAsking = false

    /** Grows with each restart, so that answers and pauses from before it are dropped. */
    private var generation = 0

    /** The series of requests. */
    val duty = Duty("relayed state", loop, clock, ::restart)

    /** Routers in a row that gave no usable answer, and those of them that kept this one waiting for it. */
    private var failures = 0
    private var timeouts = 0

    /** Whether this router reads the store itself. */
    val isReading: Boolean get() = followed == null

    /** Whether this router reads although others ahead of it should read for it. */
    val isFallback: Boolean get() = isReading && failures > 0

    /** Replaces the list of routers; this one may be among them. */
    fun setRouters(routers: List<RelayCandidate>) {
        selection.setRouters(routers)
        if (!isAsking) duty.step(::ask)
    }

    private fun restart() {
        generation++
        ask()
    }

    private fun ask() {
        isAsking = selection.isLarge
        if (!selection.isLarge) {
            duty.pause()
            return read("no router to ask")
        }
        if (!isReady()) return schedule(READY_CHECK_INTERVAL)
        val reader = selection.reader(clock.nanos())
        if (reader == null) {
            read("no router to ask")
            return scheduleNext()
        }
        // Another router than before may know more, and may be lost.
        val wait = if (reader == followed) POLL_WAIT else Duration.ZERO
        val query = RelayQuery(revisions(), wait)
        val sent = configuration.requestTime()
        val current = generation
        duty.expectStepWithin(wait + ANSWER_MARGIN)
        connector.ask(reader.address, query, wait + ANSWER_MARGIN) { result ->
            if (generation == current) duty.step { onResult(reader, result, sent) }
        }
    }

    private fun onResult(
        reader: RelayCandidate,
        result: HttpResult,
        sent: RelayRequestTime,
    ) {
        val answer = decode(result)
        when {
            answer == null -> onFailure(reader, describe(result), sent)
            answer.age > LONGEST_AGE -> onFailure(reader, "confirmed ${answer.age} ago", sent)
            else -> onAnswer(reader, answer, sent)
        }
    }

    private fun decode(result: HttpResult): RelayAnswer? =
        if (result is HttpResult.Response && result.status == OK) RelayAnswer.decode(result.body) else null

    private fun revisions(): Map<StoreKind, Long> =
        (kinds.map { it.history } + configuration.history).associate { it.kind to if (it.isListed) it.revision else 0 }

    private fun describe(result: HttpResult): String =
        when (result) {
            is HttpResult.Response -> "status ${result.status}"
            is HttpResult.Failure -> result.reason
        }

    private fun onAnswer(
        reader: RelayCandidate,
        answer: RelayAnswer,
        sent: RelayRequestTime,
    ) {
        selection.recordSuccess(reader)
        failures = 0
        timeouts = 0
        if (followed?.name != reader.name) {
            LogEvent.RELAY_FOLLOWED.log(logger) { "router=${reader.name} age=${answer.age} held=${answer.held}" }
        }
        if (isReading) pauseReading()
        followed = reader
        answer.sinceRecovery?.let(onStoreRecovery)
        val byKind = answer.kinds.associateBy { it.kind }
        kinds.forEach { watcher -> byKind[watcher.history.kind]?.let(watcher::applyRelayed) }
        configuration.applyRelayed(byKind[StoreKind.CONFIGURATION], sent, answer.held, answer.age)
        duty.recordSuccess()
        ask()
    }

    private fun pauseReading() {
        configuration.pause()
        kinds.forEach { it.pause() }
    }

    private fun onFailure(
        reader: RelayCandidate,
        reason: String,
        sent: RelayRequestTime,
    ) {
        LogEvent.RELAY_FAILED.log(logger) { "router=${reader.name} reason=\"$reason\"" }
        selection.recordFailure(reader, clock.nanos())
        failures++
        if (clock.elapsed(sent.steadyNanos) >= ANSWER_MARGIN) timeouts++
        val giveUp = failures % MAX_FAILURES == 0 || (timeouts >= MAX_TIMEOUTS && !isReading)
        if (!giveUp) return ask()
        timeouts = 0
        read("routers give no usable answer")
        scheduleNext()
    }

    /** Reads the store again. The other kinds follow the configuration, so that one call finds whether the store is there. */
    private fun read(reason: String) {
        if (isReading) return
        followed = null
        LogEvent.STORE_READ_DIRECTLY.log(logger) { "reason=\"$reason\"" }
        configuration.resume { if (isReading) kinds.forEach { it.resume() } }
    }

    /** Asks again after a pause; that no router can be asked, or that none answers, is no failure of this duty. */
    private fun scheduleNext() {
        duty.recordSuccess()
        schedule(RETRY_PAUSE + RETRY_PAUSE * random.nextDouble())
    }

    private fun schedule(pause: Duration) {
        val current = generation
        duty.expectStepWithin(pause)
        loop.schedule({ if (generation == current) duty.step(::ask) }, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val OK = 200

        /** A router that is lost is missed this long, plus the margin, after its last answer. */
        val POLL_WAIT = 800.milliseconds
        val ANSWER_MARGIN = 300.milliseconds

        /** A reader that knows its confirmation to be overdue refuses sooner; this one may have been suspended. */
        val LONGEST_AGE = 2_200.milliseconds

        /** Routers that are asked in a row before this one reads for itself. */
        const val MAX_FAILURES = 4

        /** Each answer that is awaited in vain adds to the age of what is known; two stay within the drain time. */
        const val MAX_TIMEOUTS = 2
        val RETRY_PAUSE = 2_000.milliseconds

        /** Short compared with the time for which the first watches wait for another router to take over. */
        val READY_CHECK_INTERVAL = 50.milliseconds
    }
}
