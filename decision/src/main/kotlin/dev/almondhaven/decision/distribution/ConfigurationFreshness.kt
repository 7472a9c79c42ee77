package dev.almondhaven.decision.distribution

import dev.almondhaven.model.Generation
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a router tells others of its configuration.
 *
 * @property confirmedMillisAgo how long ago the platform confirmed the generation, as far as the sender knows; null if
 * it never did. A span, so that clocks needn't agree.
 */
@Serializable
public data class ConfigurationGossip(
    public val generation: Generation,
    public val confirmedMillisAgo: Long? = null,
)

/**
 * When the platform last confirmed the generation in force, to this router or to one that told it. Safe for use by
 * several threads.
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

    /** The platform's head was at [generation] at [at]. */
    @Synchronized
    public fun recordConfirmation(
        generation: Generation,
        at: Long,
    ) {
        val held = confirmation
        val newer = held == null || generation > held.generation || (generation == held.generation && at > held.at)
        if (newer) confirmation = Confirmation(generation, at)
    }

    /** Another router told [gossip] at [now]. */
    public fun recordGossip(
        now: Long,
        gossip: ConfigurationGossip,
    ) {
        val age = gossip.confirmedMillisAgo ?: return
        recordConfirmation(gossip.generation, now - age.coerceAtLeast(0).milliseconds.inWholeNanoseconds)
    }

    /** What to tell others while [held] is in force. */
    public fun gossip(
        now: Long,
        held: Generation,
    ): ConfigurationGossip = ConfigurationGossip(held, confirmedAt(held)?.let { (now - it) / NANOS_PER_MILLISECOND })

    /** Nanoseconds since which [held] is unconfirmed; null while it counts as confirmed. */
    public fun staleSince(
        now: Long,
        held: Generation,
    ): Long? {
        val since = confirmedAt(held) ?: startedAt
        return since.takeIf { now - it > staleAfter.inWholeNanoseconds }
    }

    private fun confirmedAt(held: Generation): Long? = confirmation?.takeIf { it.generation == held }?.at

    private companion object {
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
