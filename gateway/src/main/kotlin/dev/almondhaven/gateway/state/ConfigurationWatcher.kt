package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.ConfigurationAge
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
        val steady: Long,
        val wall: Long,
    ) {
        fun later(span: Duration) = Moment(steady + span.inWholeNanoseconds, wall + span.inWholeMilliseconds)
    }

    private val proof = ConfigurationAge(bounds.revocation - MARGIN)
    private var held = false

    /** Whether requests with keys may run now. */
    val fresh: Boolean get() = proof.isFresh(clock.nanos(), wallMillis())

    fun age(): Duration = proof.age(clock.nanos(), wallMillis())

    fun start(): Unit = read()

    private fun now() = Moment(clock.nanos(), wallMillis())

    private fun read() {
        val sent = now()
        store.call(StoreCall.list(StoreKind.CONFIGURATION, after = null), READ_PATIENCE) { answer ->
            val page = answer?.takeIf { it.status == OK }?.let { StoreCall.page(it.body) }
            val known = page?.objects?.any { it.name == StoreCall.CONFIGURATION_NAME } == true
            page?.objects?.forEach(onConfiguration)
            if (known) prove(sent)
            logChange()
            if (page == null || !known) later(PAUSE_AFTER_FAILURE, ::read) else watch(page.revision, WAIT)
        }
    }

    private fun watch(
        revision: Long,
        wait: Duration,
    ) {
        val sent = now()
        store.call(StoreCall.watch(StoreKind.CONFIGURATION, revision, wait), wait + ANSWER_PATIENCE) { answer ->
            val changes = answer?.takeIf { it.status == OK }?.let { StoreCall.changes(it.body) }
            if (changes == null) {
                logChange()
                return@call later(PAUSE_BEFORE_READ, ::read)
            }
            changes.changed.forEach { onConfiguration(it.entry) }
            val waited = clock.elapsed(sent.steady) >= wait
            val quiet = changes.changed.isEmpty()
            prove(if (quiet && waited) sent.later(wait - TIMER_ERROR) else sent)
            logChange()
            if (quiet) watch(changes.revision, WAIT) else later(GROUPING) { watch(changes.revision, WAIT_AFTER_CHANGE) }
        }
    }

    private fun prove(moment: Moment): Unit = proof.confirm(moment.steady, moment.wall)

    private fun later(
        pause: Duration,
        action: () -> Unit,
    ) {
        loop.schedule(action, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun logChange() {
        if (fresh == held) return
        held = fresh
        val event = if (held) LogEvent.FRESHNESS_PROVED else LogEvent.FRESHNESS_LOST
        event.log(logger) { "age=${age()}" }
    }

    private companion object {
        const val OK = 200

        /** A watch that is lost and two reads after it may fail before the proof lapses. */
        val WAIT = 2.seconds

        /** An answer with a change proves less than a quiet one; the next proof must come before that lapses. */
        val WAIT_AFTER_CHANGE = 500.milliseconds

        /** Timers of the store and of this router differ by less. */
        val TIMER_ERROR = 50.milliseconds

        /** A slow store takes some hundred milliseconds for an answer. */
        val READ_PATIENCE = 700.milliseconds
        val ANSWER_PATIENCE = 700.milliseconds
        val PAUSE_AFTER_FAILURE = 250.milliseconds
        val PAUSE_BEFORE_READ = 20.milliseconds

        /** Changes come in groups; small beside the two seconds within which one is in force. */
        val GROUPING = 150.milliseconds

        /** Room for the way of a request from the router to the endpoint, and for clocks that run differently. */
        val MARGIN = 400.milliseconds
    }
}
