package dev.almondhaven.gateway.duty

import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Runs [action] on the event loop every [interval] for as long as [isNeeded] tells. An action that fails, with an [Error]
 * too, is logged and counted, and the next one follows all the same. Must be used on the event loop only.
 *
 * @property name the task in the log.
 */
internal class RecurringTask(
    val name: String,
    private val loop: EventLoop,
    private val interval: Duration,
    private val isNeeded: () -> Boolean = { true },
    private val action: () -> Unit,
) {
    private var isScheduled = false

    /** Actions that have failed. */
    var failures = 0L
        private set

    /** Schedules the next action if one is needed and none is scheduled. */
    fun resume() {
        if (isScheduled || !isNeeded()) return
        loop.schedule(::run, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        isScheduled = true
    }

    private fun run() {
        isScheduled = false
        try {
            action()
        } catch (failure: Throwable) {
            failures++
            LogEvent.DUTY_FAILED.log(logger, failure) { "duty=\"$name\" failures=$failures ${HeapUse.now()}" }
        } finally {
            resume()
        }
    }
}
