package dev.almondhaven.gateway

import dev.almondhaven.gateway.duty.HeapUse
import dev.almondhaven.gateway.duty.forEachIsolated
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.state.Lifecycle
import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Stops the [servers] without cutting off a request: they serve until the load balancer has noticed the stop and nothing
 * is in work, and then close their ports and connections. The decision that nothing is left is made on the event loop,
 * in the same step that closes what a further request could arrive on. Must not be used on the event loop.
 *
 * @property gracePeriod time from the request to stop until the process is killed.
 */
internal class GracefulShutdown(
    private val lifecycle: Lifecycle,
    private val loop: EventLoop,
    private val servers: List<CallerServer>,
    private val gracePeriod: Duration,
) {
    /**
     * Returns when all ports and connections are closed, or shortly before the end of the grace period; false if
     * requests had to be ended with a final response.
     */
    fun run(): Boolean {
        lifecycle.stop()
        val end = gracePeriod - FINAL_RESPONSE_TIME
        awaitUntil(minOf(BALANCER_DRAIN_DELAY, end)) { false }
        if (awaitUntil(end, ::drain)) return true
        val wasBusy = onLoop { servers.any { it.isBusy } } ?: true
        awaitUntil(gracePeriod - EXIT_MARGIN, ::endRequests)
        return !wasBusy
    }

    private fun drain(): Boolean = onLoop { servers.map { it.drain() }.all { it } } ?: false

    /** Ends what is left; what it closes counts as closed at the next check. */
    private fun endRequests(): Boolean =
        drain().also {
            onLoop {
                servers.forEachIsolated(NAME) {
                    it.stopListening()
                    it.endRequests()
                }
            }
        }

    /** Checks until [isDone], or until the stop has lasted for [time]; returns whether it is done. */
    private fun awaitUntil(
        time: Duration,
        isDone: () -> Boolean,
    ): Boolean {
        while (lifecycle.stoppingFor() < time) {
            if (isDone()) return true
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS)
        }
        return false
    }

    /** Runs [action] on the event loop; null if it failed, which the next check may not. */
    private fun <T : Any> onLoop(action: () -> T): T? =
        try {
            loop.submit<T> { action() }.get()
        } catch (failure: ExecutionException) {
            LogEvent.DUTY_FAILED.log(logger, failure.cause) { "duty=\"$NAME\" ${HeapUse.now()}" }
            null
        }

    private companion object {
        /** The load balancer checks readiness every second, and stops sending connections after two failed checks. */
        val BALANCER_DRAIN_DELAY = 2_500.milliseconds

        /** Time before the end of the grace period at which the requests that are left get their final response. */
        val FINAL_RESPONSE_TIME = 300.milliseconds

        /** Time reserved to exit before the process is killed. */
        val EXIT_MARGIN = 100.milliseconds
        const val CHECK_INTERVAL_MILLIS = 50L
        const val NAME = "graceful shutdown"
    }
}
