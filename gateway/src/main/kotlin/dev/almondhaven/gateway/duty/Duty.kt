package dev.almondhaven.gateway.duty

import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Work that goes on for as long as the process runs, in steps each of which leads to the next one: the response to a call
 * starts the next call, or a timer does. A step that fails, with an [Error] too, is logged and counted, and the duty begins
 * anew after a pause. A step that was expected and has not come, as after a failure that nothing could record, is
 * found by [restartIfOverdue]. Must be used on the event loop only.
 *
 * @property name the duty in the log.
 * @property restart drops what is in flight, and begins from the start.
 */
internal class Duty(
    val name: String,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val restart: () -> Unit,
) {
    /** Monotonic time in nanoseconds by which the next step must have begun; null while none is expected. */
    private var dueAt: Long? = null

    /** Monotonic time in nanoseconds of the first failure since the last success; null if there was none. */
    private var failingSince: Long? = null
    private var failuresInRow = 0

    /** Steps that have failed or have not come in time. */
    var failures = 0L
        private set

    /** Whether the duty does its work, or has failed to for so short a time that it may soon do it again. */
    val isSound: Boolean
        get() = failingSince.let { it == null || clock.elapsed(it) < TOLERATED_FAILURE }

    /** Runs [action], which is a step of this duty or a part of one. */
    fun step(action: () -> Unit) {
        try {
            action()
        } catch (failure: Throwable) {
            // An OutOfMemoryError ends one step; what the step held is free by now.
            recordFailure()
            loop.schedule(::begin, restartPause().inWholeMilliseconds, TimeUnit.MILLISECONDS)
            LogEvent.DUTY_FAILED.log(logger, failure) { "duty=\"$name\" failures=$failures ${HeapUse.now()}" }
        }
    }

    /** Expects that the next step begins after [time] at the latest. */
    fun expectStepWithin(time: Duration) {
        dueAt = clock.nanos() + (time + TOLERATED_DELAY).inWholeNanoseconds
    }

    /** Expects no step until [expectStepWithin] is called again. */
    fun pause() {
        dueAt = null
        recordSuccess()
    }

    /** Records that a step has done what the duty is for. */
    fun recordSuccess() {
        failingSince = null
        failuresInRow = 0
    }

    /** Begins anew if the next step has not come in time. */
    fun restartIfOverdue() {
        val due = dueAt ?: return
        if (clock.nanos() - due < 0) return
        recordFailure()
        LogEvent.DUTY_OVERDUE.log(logger) { "duty=\"$name\" failures=$failures ${HeapUse.now()}" }
        begin()
    }

    private fun begin(): Unit = step(restart)

    private fun recordFailure() {
        failures++
        failuresInRow++
        if (failingSince == null) failingSince = clock.nanos()
        expectStepWithin(restartPause())
    }

    private fun restartPause(): Duration = (RESTART_PAUSE * failuresInRow).coerceAtMost(LONGEST_RESTART_PAUSE)

    private companion object {
        /** Timers fire late while the heap is short. */
        val TOLERATED_DELAY = 1.seconds

        /** A duty that fails for longer lets the router's state grow stale. */
        val TOLERATED_FAILURE = 3.seconds
        val RESTART_PAUSE = 200.milliseconds

        /** Bounds the calls of a duty that fails each time. */
        val LONGEST_RESTART_PAUSE = 2.seconds
    }
}
