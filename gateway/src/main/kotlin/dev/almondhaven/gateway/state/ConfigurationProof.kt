package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.FreshnessProof
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.traffic.TrafficBounds
import dev.almondhaven.traffic.TrafficConfiguration
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Reads the configuration itself from time to time, because a watch that hears nothing proves nothing. Requests with keys
 * are served only while the last read is recent enough. Lives on the event loop.
 */
internal class ConfigurationProof(
    bounds: TrafficBounds,
    private val store: Store,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val onConfiguration: (TrafficConfiguration) -> Unit,
) {
    private val proof = FreshnessProof(bounds.revocation - MARGIN)
    private var held = false

    /** Whether requests with keys may run now. */
    val fresh: Boolean get() = proof.holds(clock.nanos(), System.currentTimeMillis())

    fun age(): Duration = proof.age(clock.nanos(), System.currentTimeMillis())

    fun start() {
        val steady = clock.nanos()
        val wall = System.currentTimeMillis()
        store.call(StoreCall.read(StoreKind.CONFIGURATION, StoreCall.CONFIGURATION_NAME), PATIENCE) { answer ->
            val configuration = answer?.takeIf { it.status == OK }?.let { StoreCall.entry(it.body)?.asConfiguration() }
            if (configuration != null) {
                proof.prove(steady, wall)
                onConfiguration(configuration)
            }
            logChange()
            val pause = if (configuration != null) INTERVAL else PAUSE_AFTER_FAILURE
            loop.schedule(::start, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    private fun logChange() {
        if (fresh == held) return
        held = fresh
        val event = if (held) LogEvent.FRESHNESS_PROVED else LogEvent.FRESHNESS_LOST
        event.log(logger) { "age=${age()}" }
    }

    private companion object {
        const val OK = 200

        /** A read and its repeat may fail before the proof lapses. */
        val INTERVAL = 1_600.milliseconds
        val PATIENCE = 1_000.milliseconds
        val PAUSE_AFTER_FAILURE = 250.milliseconds

        /** Room for the way of a request from the router to the endpoint, and for clocks that run differently. */
        val MARGIN = 400.milliseconds
    }
}
