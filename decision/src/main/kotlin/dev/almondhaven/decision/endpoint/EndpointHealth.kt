package dev.almondhaven.decision.endpoint

import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Circuit breaker of one endpoint. Consecutive failures eject it for a while, if its [group] allows; then a single
 * request probes it, which restores it or ejects it for twice as long. Safe to use from any thread.
 */
public class EndpointHealth(
    private val group: EjectionGroup,
) {
    private sealed interface State

    private data object Closed : State

    private data class Ejected(
        val until: Long,
        val times: Int,
    ) : State

    private data class Probing(
        val since: Long,
        val times: Int,
    ) : State

    private val state = AtomicReference<State>(Closed)
    private val failures = AtomicInteger()

    init {
        group.add(this)
    }

    /** Whether ordinary requests may not use the endpoint. */
    public val isEjected: Boolean get() = state.get() !is Closed

    /** Takes the endpoint for one request [now]: always when it is healthy, else only as the single probe. */
    public fun tryUse(now: Long): Boolean =
        when (val held = state.get()) {
            is Closed -> {
                true
            }

            is Ejected -> {
                now >= held.until && state.compareAndSet(held, Probing(now, held.times))
            }

            is Probing -> {
                now - held.since >= PROBE_PATIENCE_NANOS &&
                    state.compareAndSet(held, Probing(now, held.times))
            }
        }

    /** Whether [tryUse] would fail now; for looking without taking. */
    public fun refuses(now: Long): Boolean =
        when (val held = state.get()) {
            is Closed -> false
            is Ejected -> now < held.until
            is Probing -> now - held.since < PROBE_PATIENCE_NANOS
        }

    /** Notes a good answer; true when it restored the endpoint. */
    public fun recordSuccess(): Boolean {
        failures.set(0)
        val held = state.get()
        return held is Probing && state.compareAndSet(held, Closed)
    }

    /** Notes a failure; true when it ejected the endpoint. */
    public fun recordFailure(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        val count = failures.incrementAndGet()
        return when (val held = state.get()) {
            is Closed -> count >= CONSECUTIVE_FAILURES && group.tryEject(this) { eject(held, now, 1, random) }
            is Probing -> eject(held, now, held.times + 1, random)
            is Ejected -> false
        }
    }

    /** Notes that no connection to the endpoint could be opened, which is as good as several failures. */
    public fun recordUnreachable(
        now: Long,
        random: UniformRandomProvider,
    ): Boolean {
        failures.set(CONSECUTIVE_FAILURES - 1)
        return recordFailure(now, random)
    }

    /** Stops counting the endpoint in its group. */
    public fun retire(): Unit = group.remove(this)

    private fun eject(
        held: State,
        now: Long,
        times: Int,
        random: UniformRandomProvider,
    ): Boolean {
        val ceiling = minOf(FIRST_EJECTION * (1 shl minOf(times - 1, MAXIMUM_DOUBLINGS)), LONGEST_EJECTION)
        val jittered = ceiling / 2 + random.nextLong(ceiling.inWholeNanoseconds / 2 + 1).nanoseconds
        failures.set(0)
        return state.compareAndSet(held, Ejected(now + jittered.inWholeNanoseconds, times))
    }

    private companion object {
        const val CONSECUTIVE_FAILURES = 3
        const val MAXIMUM_DOUBLINGS = 8
        val FIRST_EJECTION: Duration = 2.seconds
        val LONGEST_EJECTION: Duration = 60.seconds
        val PROBE_PATIENCE_NANOS: Long = 10.seconds.inWholeNanoseconds
    }
}
