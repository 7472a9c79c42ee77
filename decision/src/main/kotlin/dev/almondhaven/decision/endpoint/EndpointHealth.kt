package dev.almondhaven.decision.endpoint

import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Circuit breaker of one endpoint. Consecutive failures eject the endpoint for a while if its [group] allows that.
 * Then a single request probes it, whose outcome either restores the endpoint or ejects it for twice as long. While no
 * endpoint of the group is left, an ejected one is used all the same. Thread-safe.
 *
 * @property longestEjection bound on the time between two probes.
 * @property takesRequests whether the endpoint takes new requests: it is neither draining nor evacuated.
 */
public class EndpointHealth(
    private val group: EjectionGroup,
    private val longestEjection: Duration = LONGEST_EJECTION,
    internal val takesRequests: () -> Boolean = { true },
) {
    private sealed interface State

    private data object Closed : State

    private data class Ejected(
        val until: Long,
        val ejections: Int,
    ) : State

    private data class Probing(
        val startedAt: Long,
        val ejections: Int,
    ) : State

    private val state = AtomicReference<State>(Closed)
    private val failures = AtomicInteger()

    init {
        group.add(this)
    }

    /** Whether the circuit breaker is open or half-open, so that only a probe may use the endpoint. */
    public val isEjected: Boolean get() = state.get() !is Closed

    /** Claims the endpoint for one request [now]: always succeeds if it is healthy, else only for the single probe. */
    public fun tryUse(now: Long): Boolean =
        when (val current = state.get()) {
            is Closed -> {
                true
            }

            is Ejected -> {
                now >= current.until && state.compareAndSet(current, Probing(now, current.ejections))
            }

            is Probing -> {
                now - current.startedAt >= PROBE_TIMEOUT_NANOS &&
                    state.compareAndSet(current, Probing(now, current.ejections))
            }
        }

    /** Whether the endpoint should not be used [now], not even for a probe. Doesn't claim the probe. */
    public fun refuses(now: Long): Boolean =
        when (val current = state.get()) {
            is Closed -> false
            is Ejected -> now < current.until && !group.isExhausted()
            is Probing -> now - current.startedAt < PROBE_TIMEOUT_NANOS && !group.isExhausted()
        }

    /** Records a success; returns true if it restored the endpoint. */
    public fun recordSuccess(): Boolean {
        failures.set(0)
        val current = state.get()
        return current is Probing && state.compareAndSet(current, Closed)
    }

    /** Records a failure; returns true if it ejected the endpoint. */
    public fun recordFailure(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        val count = failures.incrementAndGet()
        return when (val current = state.get()) {
            is Closed -> count >= CONSECUTIVE_FAILURES && group.tryEject(this) { eject(current, now, 1, random) }
            is Probing -> eject(current, now, current.ejections + 1, random)
            is Ejected -> false
        }
    }

    /** Records a failure to connect, which weighs as much as [CONSECUTIVE_FAILURES] failures; true if it ejected. */
    public fun recordUnreachable(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failures.set(CONSECUTIVE_FAILURES - 1)
        return recordFailure(now, random)
    }

    /** Lets the next request at [now] probe the endpoint, since the probe in flight ended without telling its health. */
    public fun releaseProbe(now: Long) {
        val current = state.get()
        if (current is Probing) state.compareAndSet(current, Ejected(now, current.ejections))
    }

    /** Removes the endpoint from its group. */
    public fun retire(): Unit = group.remove(this)

    private fun eject(
        current: State,
        now: Long,
        ejections: Int,
        random: UniformRandomProvider,
    ): Boolean {
        val duration = minOf(FIRST_EJECTION * (1 shl minOf(ejections - 1, MAXIMUM_DOUBLINGS)), longestEjection)
        val jitteredDuration = duration / 2 + random.nextLong(duration.inWholeNanoseconds / 2 + 1).nanoseconds
        failures.set(0)
        return state.compareAndSet(current, Ejected(now + jitteredDuration.inWholeNanoseconds, ejections))
    }

    private companion object {
        const val CONSECUTIVE_FAILURES = 3
        const val MAXIMUM_DOUBLINGS = 8
        val FIRST_EJECTION: Duration = 2.seconds
        val LONGEST_EJECTION: Duration = 60.seconds

        /** Time after which another request may probe, if the outcome of the previous probe is unknown. */
        val PROBE_TIMEOUT_NANOS: Long = 10.seconds.inWholeNanoseconds
    }
}
