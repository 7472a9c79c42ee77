package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.FreshnessProof
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
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
 * Follows the configuration and proves how fresh it is. One short watch after the other does both: a watch that ends
 * without a change after its full time shows that there was none until then; any other answer proves only the moment at
 * which its call was sent. A call that isn't answered in time is followed by reads. Requests with keys are served only
 * while the last proof is recent enough. Lives on the event loop.
 */
internal class ConfigurationWatcher(
    bounds: TrafficBounds,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val onConfiguration: (StoredObject) -> Unit,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private class Moment(
        val steadyNanos: Long,
        val wallMillis: Long,
    ) {
        fun plus(span: Duration) = Moment(steadyNanos + span.inWholeNanoseconds, wallMillis + span.inWholeMilliseconds)
    }

    private val proof = FreshnessProof(bounds.revocation - REVOCATION_MARGIN)
    private var wasFresh = false

    /** Whether requests with keys may run now. */
    val isFresh: Boolean get() = proof.holds(clock.nanos(), wallMillis())

    fun proofAge(): Duration = proof.age(clock.nanos(), wallMillis())

    fun start(): Unit = read()

    private fun now() = Moment(clock.nanos(), wallMillis())

    private fun read() {
        val sent = now()
        store.call(StoreCall.list(StoreKind.CONFIGURATION, after = null), READ_TIMEOUT) { response ->
            val page = response?.takeIf { it.status == OK }?.let { StoreCall.page(it.body) }
            val hasConfiguration = page?.objects?.any { it.name == StoreCall.CONFIGURATION_NAME } == true
            page?.objects?.forEach(onConfiguration)
            if (hasConfiguration) recordProof(sent)
            logFreshnessChange()
            if (page == null ||
                !hasConfiguration
            ) {
                schedule(RETRY_DELAY, ::read)
            } else {
                watch(page.revision, WATCH_DURATION)
            }
        }
    }

    private fun watch(
        revision: Long,
        wait: Duration,
    ) {
        val sent = now()
        store.call(StoreCall.watch(StoreKind.CONFIGURATION, revision, wait), wait + RESPONSE_TIMEOUT) { response ->
            val changes = response?.takeIf { it.status == OK }?.let { StoreCall.changes(it.body) }
            if (changes == null) {
                logFreshnessChange()
                return@call schedule(READ_DELAY_AFTER_FAILED_WATCH, ::read)
            }
            changes.changed.forEach { onConfiguration(it.entry) }
            val waited = clock.elapsed(sent.steadyNanos) >= wait
            val unchanged = changes.changed.isEmpty()
            recordProof(if (unchanged && waited) sent.plus(wait - TIMER_TOLERANCE) else sent)
            logFreshnessChange()
            if (unchanged) {
                watch(changes.revision, WATCH_DURATION)
            } else {
                schedule(CHANGE_BATCH_DELAY) {
                    watch(changes.revision, WATCH_DURATION_AFTER_CHANGE)
                }
            }
        }
    }

    private fun recordProof(moment: Moment): Unit = proof.prove(moment.steadyNanos, moment.wallMillis)

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ) {
        loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun logFreshnessChange() {
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        val event = if (wasFresh) LogEvent.FRESHNESS_PROVED else LogEvent.FRESHNESS_LOST
        event.log(logger) { "age=${proofAge()}" }
    }

    private companion object {
        const val OK = 200

        /** A watch that is lost and two reads after it may fail before the proof lapses. */
        val WATCH_DURATION = 2.seconds

        /** An answer with a change proves less than a quiet one; the next proof must come before that lapses. */
        val WATCH_DURATION_AFTER_CHANGE = 500.milliseconds

        /** Timers of the store and of this router differ by less. */
        val TIMER_TOLERANCE = 50.milliseconds

        /** A slow store takes some hundred milliseconds for an answer. */
        val READ_TIMEOUT = 700.milliseconds
        val RESPONSE_TIMEOUT = 700.milliseconds
        val RETRY_DELAY = 250.milliseconds
        val READ_DELAY_AFTER_FAILED_WATCH = 20.milliseconds

        /** Changes come in groups; small beside the two seconds within which one is in force. */
        val CHANGE_BATCH_DELAY = 150.milliseconds

        /** Room for the way of a request from the router to the endpoint, and for clocks that run differently. */
        val REVOCATION_MARGIN = 400.milliseconds
    }
}
