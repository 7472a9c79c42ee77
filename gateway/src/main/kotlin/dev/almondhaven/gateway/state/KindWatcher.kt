package dev.almondhaven.gateway.state

import dev.almondhaven.decision.retry.FullJitterBackoff
import dev.almondhaven.gateway.duty.Duty
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.RelayedKind
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoredObject
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Follows one kind of objects: lists them, then watches from the list's revision. Lists again when the store no longer
 * has the history since then. A watch that the store never received, or whose response was lost, looks like one that
 * waits; [catchUp] tells them apart. While another router passes the changes on, it is paused. A step that fails is
 * followed by a list. Must be used on the event loop only.
 *
 * @property batchDelay pause after a change, so that the next watch returns the changes that follow it together.
 * @property catchUpInterval minimum time between two calls that check whether the watch in flight is lost.
 * @property history what is known of the kind.
 * @property firstWatchDelay pause after the list, within which another router may take over to pass the changes on.
 * @property onList called with a complete list.
 * @property onChanges called with the changes since the list or the previous changes.
 */
internal class KindWatcher(
    val history: KindHistory,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val random: UniformRandomProvider,
    private val batchDelay: Duration,
    private val catchUpInterval: Duration,
    private val onList: (List<StoredObject>) -> Unit,
    private val onChanges: (List<StoreChange>) -> Unit,
    private val firstWatchDelay: Duration = Duration.ZERO,
    clock: NanoClock = NanoClock.SYSTEM,
) {
    private val kind = history.kind
    private val lister = KindLister(kind, ::callUnlessPaused)
    private val backoff = FullJitterBackoff(INITIAL_BACKOFF, MAX_BACKOFF)
    private var failures = 0
    private var watchedRevision = 0L

    /** Newest revision that the store is known to have reached. */
    private var storeRevision = 0L
    private var isCatchUpDeferred = false

    /** Cancels the watch in flight; null if there is none. */
    private var cancelWatch: (() -> Unit)? = null

    /** Whether another router passes the changes on. */
    private var isPaused = false

    /** Grows with each pause and restart, so that responses and retries from before it are dropped. */
    private var generation = 0

    /** What is to be called again when the store can be reached; null if nothing waits for that. */
    private var afterRecovery: (() -> Unit)? = null

    /** The series of calls. */
    val duty = Duty("watch of $kind", loop, clock, ::restart)

    fun start() {
        store.onRecovery { duty.step(::onRecovery) }
        duty.step(::list)
    }

    /** Stops calling the store, since another router passes the changes on. */
    fun pause() {
        if (isPaused) return
        isPaused = true
        dropCalls()
        duty.pause()
    }

    private fun dropCalls() {
        generation++
        cancelWatch?.invoke()
        cancelWatch = null
        afterRecovery = null
    }

    private fun restart() {
        if (isPaused) return
        dropCalls()
        isCatchUpDeferred = false
        list()
    }

    /** Calls the store again, from the revision up to which the changes are known. */
    fun resume() {
        if (!isPaused) return
        isPaused = false
        failures = 0
        follow()
    }

    private fun follow(): Unit = if (history.isListed) watch(history.revision) else list()

    /** Applies what another router knows more of this kind, unless this one has learned as much meanwhile. */
    fun applyRelayed(relayed: RelayedKind) {
        if (relayed.revision <= history.revision && history.isListed) return
        if (relayed.list == null && !history.isListed) return
        history.apply(relayed) { changes ->
            apply { relayed.list?.let(onList) }
            apply { if (changes.isNotEmpty()) onChanges(changes) }
        }
    }

    private fun replace(listing: KindListing) {
        history.replace(listing.objects, listing.revision)
        apply { onList(listing.objects) }
        duty.recordSuccess()
    }

    private fun add(
        changes: List<StoreChange>,
        revision: Long,
    ) {
        val news = history.add(changes, revision)
        if (news.isNotEmpty()) apply { onChanges(news) }
        duty.recordSuccess()
    }

    /** Runs [action] unless the watcher has been paused or restarted since this function was called. */
    private fun unlessPaused(action: () -> Unit): () -> Unit {
        val current = generation
        return { if (generation == current) action() }
    }

    private fun onRecovery() {
        val waiting = afterRecovery
        afterRecovery = null
        if (waiting != null) waiting() else restartWatch()
    }

    /**
     * Replaces a watch that was started before or during a failure of the store, since the store may never respond to
     * it.
     */
    private fun restartWatch() {
        val cancel = cancelWatch ?: return
        cancel()
        watch(watchedRevision)
    }

    /**
     * Tells that the store has reached [revision]. If this kind is behind it although a watch is in flight, a call that
     * doesn't wait returns the changes that the watch should have returned.
     */
    fun catchUp(revision: Long): Unit = duty.step { startCatchUp(revision) }

    private fun startCatchUp(revision: Long) {
        storeRevision = maxOf(storeRevision, revision)
        if (storeRevision <= history.revision || isCatchUpDeferred || cancelWatch == null) return
        isCatchUpDeferred = true
        val since = watchedRevision
        store.call(StoreCall.watch(kind, since, Duration.ZERO), CALL_TIMEOUT) { response ->
            loop.schedule(::endCatchUpInterval, catchUpInterval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            duty.step { onCatchUpResponse(since, response) }
        }
    }

    private fun onCatchUpResponse(
        since: Long,
        response: StoreResponse?,
    ) {
        val cancel = cancelWatch
        if (cancel == null || since != watchedRevision) return
        val changes = response?.takeIf { it.status == OK }?.let { StoreCall.changes(kind, it.body) }
        val isBehind = response?.status == StoreCall.REVISION_EXPIRED || changes?.changed?.isNotEmpty() == true
        if (!isBehind) {
            // A call that failed proves nothing; it is repeated after the interval.
            if (changes != null) history.advance(changes.revision)
            return
        }
        LogEvent.STORE_WATCH_REPLACED.log(logger) { "kind=$kind revision=$since store=$storeRevision" }
        cancel()
        cancelWatch = null
        onWatchResponse(since, response)
    }

    private fun endCatchUpInterval() {
        isCatchUpDeferred = false
        catchUp(storeRevision)
    }

    private fun list(): Unit =
        lister.list(onFailure = { retry(it, ::list) }) { listing ->
            failures = 0
            replace(listing)
            if (firstWatchDelay.isPositive()) {
                schedule(firstWatchDelay) { watch(history.revision) }
            } else {
                watch(listing.revision)
            }
        }

    /** Calls the store; the response is dropped if the watcher has been paused or restarted meanwhile. */
    private fun callUnlessPaused(
        call: StoreCall,
        onResponse: (StoreResponse?) -> Unit,
    ) {
        val current = generation
        duty.expectStepWithin(CALL_TIMEOUT)
        store.call(call, CALL_TIMEOUT) { if (generation == current) duty.step { onResponse(it) } }
    }

    private fun watch(revision: Long) {
        watchedRevision = revision
        cancelWatch = null
        var responded = false
        duty.expectStepWithin(WATCH_DURATION + CALL_TIMEOUT)
        val cancel =
            store.call(StoreCall.watch(kind, revision, WATCH_DURATION), WATCH_DURATION + CALL_TIMEOUT) { response ->
                responded = true
                cancelWatch = null
                duty.step { onWatchResponse(revision, response) }
            }
        if (!responded) cancelWatch = cancel
    }

    private fun onWatchResponse(
        revision: Long,
        response: StoreResponse?,
    ) {
        if (response?.status == StoreCall.REVISION_EXPIRED) {
            LogEvent.STORE_HISTORY_GONE.log(logger) { "kind=$kind revision=$revision" }
            return list()
        }
        val changes = response?.takeIf { it.status == OK }?.let { StoreCall.changes(kind, it.body) }
        if (changes == null) return retry(response) { watch(revision) }
        failures = 0
        add(changes.changed, changes.revision)
        // Changes arrive in bursts; after a short pause one call returns the rest of a burst.
        schedule(batchDelay) { watch(changes.revision) }
    }

    /** Applies what the store returned. If that fails, later changes are still followed. */
    private fun apply(action: () -> Unit) {
        try {
            action()
        } catch (failure: RuntimeException) {
            LogEvent.DUTY_FAILED.log(logger, failure) { "kind=$kind revision=$watchedRevision" }
        }
    }

    private fun retry(
        response: StoreResponse?,
        action: () -> Unit,
    ) {
        failures++
        // That the store can't be reached is no failure of this duty.
        if (response == null) duty.recordSuccess()
        if (response != null) {
            LogEvent.STORE_CALL_FAILED.log(
                logger,
            ) { "kind=$kind status=${response.status} body=${response.body.take(LOGGED_BODY_CHARS)}" }
        }
        if (store.isReachable) return schedule(backoff.delay(failures, random) + MIN_RETRY_DELAY, action)
        // The watcher of the configuration tests whether the store is back; one call at a time is enough for that.
        val retry = unlessPaused(action)
        afterRecovery = retry
        schedule(LONGEST_WAIT_FOR_RECOVERY) {
            if (afterRecovery === retry) {
                afterRecovery = null
                retry()
            }
        }
    }

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ) {
        duty.expectStepWithin(delay)
        loop.schedule(unlessPaused { duty.step(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val OK = 200
        const val LOGGED_BODY_CHARS = 120

        /** The store ends a watch after 30 s at most; a shorter one leaves time for the response. */
        val WATCH_DURATION = 28.seconds

        /** A slow store takes some hundred milliseconds to respond. */
        val CALL_TIMEOUT = 1_500.milliseconds
        val MIN_RETRY_DELAY = 50.milliseconds
        val INITIAL_BACKOFF = 200.milliseconds

        /** The recovery is usually noticed by other calls, within half a second. */
        val LONGEST_WAIT_FOR_RECOVERY = 3.seconds

        /** A recovered store is detected soon enough to catch up within the bounds on configuration changes. */
        val MAX_BACKOFF = 500.milliseconds
    }
}
