package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps calls from a platform that doesn't answer: after some failures in a row it opens for a random pause, then lets
 * a single probe through, and closes when a probe succeeds. Safe to use from any thread.
 */
public class CircuitBreaker(
    private val clock: NanoClock,
    private val random: Random,
    private val failuresToOpen: Int = DEFAULT_FAILURES_TO_OPEN,
    private val backoff: FullJitter = FullJitter(200.milliseconds, 5.seconds),
) {
    private var failures = 0
    private var closedUntil = 0L
    private var probing = false

    /** Whether calls are held back. */
    public val isOpen: Boolean @Synchronized get() = failures >= failuresToOpen

    /** Whether a call may be made now; every call that may must be reported. */
    @Synchronized
    public fun tryAcquire(): Boolean {
        if (failures < failuresToOpen) return true
        if (probing || clock.nanos() - closedUntil < 0) return false
        probing = true
        return true
    }

    /** Reports an answer; returns whether it closed the circuit. */
    @Synchronized
    public fun recordResponse(): Boolean {
        val closed = failures >= failuresToOpen
        failures = 0
        probing = false
        return closed
    }

    /** Reports that no answer came. */
    @Synchronized
    public fun recordFailure() {
        failures++
        probing = false
        if (failures < failuresToOpen) return
        val pause: Duration = backoff.delay(failures - failuresToOpen + 1, random)
        closedUntil = clock.nanos() + pause.inWholeNanoseconds
    }

    private companion object {
        const val DEFAULT_FAILURES_TO_OPEN = 5
    }
}
