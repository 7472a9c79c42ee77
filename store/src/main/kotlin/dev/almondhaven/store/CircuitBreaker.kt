package dev.almondhaven.store

import dev.almondhaven.model.NanoClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rejects calls while the platform doesn't respond: opens after [failuresToOpen] consecutive failures for a random
 * pause, then lets a single probe through, and closes when the platform responds to a probe. Thread-safe.
 */
public class CircuitBreaker(
    private val clock: NanoClock,
    private val random: Random,
    private val failuresToOpen: Int = DEFAULT_FAILURES_TO_OPEN,
    private val backoff: FullJitter = FullJitter(200.milliseconds, 5.seconds),
) {
    private var consecutiveFailures = 0
    private var probeAllowedAt = 0L
    private var isProbing = false

    /** Whether calls are rejected, except for probes. */
    public val isOpen: Boolean @Synchronized get() = consecutiveFailures >= failuresToOpen

    /**
     * Returns whether a call may be made now. The outcome of every permitted call must be recorded, otherwise a probe
     * never ends and the breaker stays open.
     */
    @Synchronized
    public fun tryAcquire(): Boolean {
        if (consecutiveFailures < failuresToOpen) return true
        if (isProbing || clock.nanos() - probeAllowedAt < 0) return false
        isProbing = true
        return true
    }

    /** Records that the platform responded; returns whether this closed the circuit. */
    @Synchronized
    public fun recordResponse(): Boolean {
        val wasOpen = consecutiveFailures >= failuresToOpen
        consecutiveFailures = 0
        isProbing = false
        return wasOpen
    }

    /** Records that the platform didn't respond. */
    @Synchronized
    public fun recordFailure() {
        consecutiveFailures++
        isProbing = false
        if (consecutiveFailures < failuresToOpen) return
        val pause: Duration = backoff.delay(consecutiveFailures - failuresToOpen + 1, random)
        probeAllowedAt = clock.nanos() + pause.inWholeNanoseconds
    }

    private companion object {
        const val DEFAULT_FAILURES_TO_OPEN = 5
    }
}
