package dev.almondhaven.decision.distribution

import dev.almondhaven.model.Generation
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The state of a router's configuration as gossiped to other routers.
 *
 * @property confirmedMillisAgo how long ago the platform confirmed the generation, as far as the sender knows; null if
 * it never did. A duration rather than a timestamp, so that clocks needn't be synchronised.
 */
@Serializable
public data class ConfigurationGossip(
    public val generation: Generation,
    public val confirmedMillisAgo: Long? = null,
)

/**
 * Tracks when the platform last confirmed the generation in force, either to this router or to one that gossiped it.
 * Safe for use by several threads.
 */
public class ConfigurationFreshness(
    private val staleAfter: Duration,
    startedAt: Long,
) {
    private val startedAt = startedAt

    @Volatile
    private var confirmation: Confirmation? = null

    private class Confirmation(
        val generation: Generation,
        val at: Long,
    )

    /** Records that the platform's head was at [generation] at [at]. */
    @Synchronized
    public fun recordConfirmation(
        generation: Generation,
        at: Long,
    ) {
        val last = confirmation
        val isNewer = last == null || generation > last.generation || (generation == last.generation && at > last.at)
        if (isNewer) confirmation = Confirmation(generation, at)
    }

    /** Records [gossip] of another router, received at [now]. */
    public fun recordGossip(
        now: Long,
        gossip: ConfigurationGossip,
    ) {
        val age = gossip.confirmedMillisAgo ?: return
        recordConfirmation(gossip.generation, now - age.coerceAtLeast(0).milliseconds.inWholeNanoseconds)
    }

    /** What to gossip while generation [current] is in force. */
    public fun gossip(
        now: Long,
        current: Generation,
    ): ConfigurationGossip =
        ConfigurationGossip(current, confirmedAt(current)?.let { (now - it) / NANOS_PER_MILLISECOND })

    /** Monotonic nanoseconds since which [current] is unconfirmed, once that makes it stale; null while it is fresh. */
    public fun staleSince(
        now: Long,
        current: Generation,
    ): Long? {
        val since = confirmedAt(current) ?: startedAt
        return since.takeIf { now - it > staleAfter.inWholeNanoseconds }
    }

    private fun confirmedAt(current: Generation): Long? = confirmation?.takeIf { it.generation == current }?.at

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
