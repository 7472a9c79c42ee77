package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.ConfigurationAge
import dev.almondhaven.gateway.duty.Duty
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.RelayedKind
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreChanges
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.traffic.TrafficBounds
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Follows the configuration and confirms how recent the known one is, both by a series of short watches. A watch that
 * ends without a change after its full duration confirms that the known configuration was current until then; any other
 * response confirms it only for the time at which its call was sent. A call that times out is followed by reads.
 * Requests with API keys are served only while the last confirmation is recent enough. While another router passes the
 * configuration and its confirmations on, the watcher is paused. A step that fails is followed by a read of all. Must be
 * used on the event loop only.
 *
 * @property retryDelay pause after a read that failed.
 * @property isRelayed whether other routers rely on this one's confirmations, and should soon notice that they end.
 * @property onConfirmed called when the configuration has been confirmed anew.
 * @property onRevision called with the store's revision, which each response states.
 */
internal class ConfigurationWatcher(
    bounds: TrafficBounds,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val onConfiguration: (StoredObject) -> Unit,
    private val onRevision: (Long) -> Unit = {},
    private val wallMillis: () -> Long = System::currentTimeMillis,
    private val retryDelay: () -> Duration = { RETRY_DELAY },
    private val onConfirmed: () -> Unit = {},
    private val isRelayed: () -> Boolean = { false },
) {
    private class Moment(
        val steadyNanos: Long,
        val wallMillis: Long,
    ) {
        fun plus(span: Duration) = Moment(steadyNanos + span.inWholeNanoseconds, wallMillis + span.inWholeMilliseconds)
    }

    private val ownWatchDuration = minOf(MAX_WATCH_DURATION, bounds.drain * DRAIN_SHARE)
    private val relayedWatchDuration = minOf(MAX_WATCH_DURATION, bounds.drain * RELAYED_DRAIN_SHARE)
    private val watchDuration: Duration get() = if (isRelayed()) relayedWatchDuration else ownWatchDuration

    /** Age of a confirmation by which the next one is overdue, so that others should not rely on this router any more. */
    val overdueAge: Duration get() = watchDuration + OVERDUE_TOLERANCE
    private val configurationAge = ConfigurationAge(bounds.revocation - REVOCATION_MARGIN)
    private var wasFresh = false

    /** What is known of the configuration's kind. */
    val history = KindHistory(StoreKind.CONFIGURATION)
    private val lister =
        KindLister(StoreKind.CONFIGURATION) { call, onResponse -> call(call, READ_TIMEOUT, onResponse) }
    private var isPaused = false

    /** Grows with each pause and restart, so that responses and retries from before it are dropped. */
    private var generation = 0
    private var cancelCall: () -> Unit = {}

    /** Called when the store has answered after [resume]; null if nothing waits for that. */
    private var onReached: (() -> Unit)? = null

    /** The series of calls. */
    val duty = Duty("watch of ${StoreKind.CONFIGURATION}", loop, clock, ::restart)

    /** Whether the last confirmation is recent enough to serve requests with API keys. */
    val isFresh: Boolean get() = configurationAge.isFresh(clock.nanos(), wallMillis())

    fun confirmationAge(): Duration = configurationAge.age(clock.nanos(), wallMillis())

    fun start(): Unit = duty.step(::read)

    /** Stops calling the store, since another router passes the configuration on. */
    fun pause() {
        if (isPaused) return
        isPaused = true
        onReached = null
        dropCalls()
        duty.pause()
    }

    private fun dropCalls() {
        generation++
        cancelCall()
    }

    private fun restart() {
        if (isPaused) return
        dropCalls()
        read()
    }

    /** Calls the store again; [onReached] is called once, when it has answered. */
    fun resume(onReached: () -> Unit) {
        if (!isPaused) return
        isPaused = false
        this.onReached = onReached
        if (!history.isListed) return read()
        val sent = now()
        call(StoreCall.watch(StoreKind.CONFIGURATION, history.revision, Duration.ZERO), READ_TIMEOUT) { response ->
            val changes = decodeChanges(response)
            if (changes == null) return@call schedule(READ_DELAY_AFTER_FAILED_WATCH) { read() }
            apply(changes)
            confirm(sent)
            reportReached()
            watch(changes.revision, watchDuration)
        }
    }

    private fun reportReached() {
        val report = onReached
        onReached = null
        report?.invoke()
    }

    /**
     * Applies what another router knows of the configuration, which it confirmed [age] before the end of the time
     * [held] for which it held the request that was sent at [sent].
     */
    fun applyRelayed(
        relayed: RelayedKind?,
        sent: RelayRequestTime,
        held: Duration,
        age: Duration,
    ) {
        if (relayed != null && relayed.revision > history.revision) {
            history.apply(relayed) { changes -> relayed.list?.forEach(onConfiguration) ?: report(changes) }
        }
        confirm(Moment(sent.steadyNanos, sent.wallMillis).plus(held - age))
        logFreshnessChange()
    }

    /** The present time by both clocks. */
    fun requestTime(): RelayRequestTime = RelayRequestTime(clock.nanos(), wallMillis())

    private fun call(
        call: StoreCall,
        timeout: Duration,
        onResponse: (StoreResponse?) -> Unit,
    ) {
        val current = generation
        duty.expectStepWithin(timeout)
        cancelCall = store.call(call, timeout) { if (generation == current) duty.step { onResponse(it) } }
    }

    private fun apply(changes: StoreChanges) {
        report(history.add(changes.changed, changes.revision))
        duty.recordSuccess()
    }

    private fun decodeChanges(response: StoreResponse?): StoreChanges? =
        response?.takeIf { it.status == OK }?.let { StoreCall.changes(StoreKind.CONFIGURATION, it.body) }

    private fun report(changes: List<StoreChange>): Unit =
        changes.filterNot { it.removed }.forEach { onConfiguration(it.entry) }

    private fun now() = Moment(clock.nanos(), wallMillis())

    private fun read() {
        val sent = now()
        val onFailure = { response: StoreResponse? ->
            // That the store can't be reached is no failure of this duty.
            if (response == null) duty.recordSuccess()
            logFreshnessChange()
            schedule(retryDelay()) { read() }
        }
        lister.list(onFailure) { listing ->
            history.replace(listing.objects, listing.revision)
            listing.objects.forEach(onConfiguration)
            duty.recordSuccess()
            confirm(sent)
            logFreshnessChange()
            onRevision(listing.revision)
            reportReached()
            watch(listing.revision, watchDuration)
        }
    }

    private fun watch(
        revision: Long,
        wait: Duration,
    ) {
        val sent = now()
        call(StoreCall.watch(StoreKind.CONFIGURATION, revision, wait), wait + RESPONSE_TIMEOUT) { response ->
            val changes = decodeChanges(response)
            if (changes == null) {
                logFreshnessChange()
                return@call schedule(READ_DELAY_AFTER_FAILED_WATCH) { read() }
            }
            apply(changes)
            val waitedInFull = clock.elapsed(sent.steadyNanos) >= wait
            val unchanged = changes.changed.isEmpty()
            confirm(if (unchanged && waitedInFull) sent.plus(wait - TIMER_TOLERANCE) else sent)
            logFreshnessChange()
            onRevision(changes.revision)
            when {
                !unchanged -> schedule(CHANGE_BATCH_DELAY) { watch(changes.revision, WATCH_DURATION_AFTER_CHANGE) }
                waitedInFull -> watch(changes.revision, watchDuration)
                else -> schedule(EARLY_END_DELAY) { watch(changes.revision, watchDuration) }
            }
        }
    }

    /** Confirms the configuration for [moment], unless there is none yet or a later moment is confirmed already. */
    private fun confirm(moment: Moment) {
        if (!history.holds(StoreCall.CONFIGURATION_NAME) ||
            !configurationAge.confirm(moment.steadyNanos, moment.wallMillis)
        ) {
            return
        }
        onConfirmed()
    }

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ) {
        val current = generation
        duty.expectStepWithin(delay)
        val step = { if (generation == current) duty.step(action) }
        loop.schedule(step, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun logFreshnessChange() {
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        val event = if (wasFresh) LogEvent.FRESHNESS_PROVED else LogEvent.FRESHNESS_LOST
        event.log(logger) { "age=${confirmationAge()}" }
    }

    companion object {
        private const val OK = 200

        /** The last confirmation outlasts a lost watch and two failed reads after it. */
        private val MAX_WATCH_DURATION = 2.seconds

        /**
         * Share of the drain time after which the store's revision is known again, so that a lost watch of the
         * endpoints is replaced within that time.
         */
        private const val DRAIN_SHARE = 0.6

        /** The same for a router that others rely on: the time to notice and to ask another one comes on top. */
        private const val RELAYED_DRAIN_SHARE = 0.45

        /** A watch that ends without a change answers within this time after its duration. */
        private val OVERDUE_TOLERANCE = 250.milliseconds

        /**
         * A watch that reports a change confirms less than one that ends without a change, so the next confirmation
         * must come before that one expires.
         */
        private val WATCH_DURATION_AFTER_CHANGE = 500.milliseconds

        /** Upper bound on the difference between the timers of the store and of this router. */
        private val TIMER_TOLERANCE = 50.milliseconds

        /** A slow store takes some hundred milliseconds to respond. */
        private val READ_TIMEOUT = 700.milliseconds
        private val RESPONSE_TIMEOUT = 700.milliseconds

        /** Short compared with the lifetime of a confirmation; several routers may test at the same time. */
        val RETRY_DELAY = 250.milliseconds
        private val READ_DELAY_AFTER_FAILED_WATCH = 20.milliseconds

        /** Changes arrive in bursts; short compared with the two seconds within which a change must take effect. */
        private val CHANGE_BATCH_DELAY = 150.milliseconds

        /** Bounds the calls to a store that ends its watches at once. */
        private val EARLY_END_DELAY = 150.milliseconds

        /** Safety margin for the transit time of a request from the router to the endpoint, and for clock drift. */
        private val REVOCATION_MARGIN = 400.milliseconds
    }
}
