package dev.almondhaven.decision.membership

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the membership.
 *
 * @property probeInterval time between two probes.
 * @property indirectProbes routers asked to probe a router that did not answer.
 * @property recordsPerMessage news in one message.
 * @property pageRecords members in an answer to a router that knows about as many as the answering one.
 * @property joinPageRecords most members in an answer to a router that knows fewer.
 * @property roundsPerContact rounds between two attempts to reach a router outside the view.
 * @property forgetAfter how long a dead router is remembered, and its address tried again.
 */
public data class MembershipSettings(
    public val probeInterval: Duration = 1.seconds,
    public val indirectProbes: Int = 3,
    public val recordsPerMessage: Int = 8,
    public val pageRecords: Int = 2,
    public val joinPageRecords: Int = 40,
    public val roundsPerContact: Int = 5,
    public val forgetAfter: Duration = 6.hours,
) {
    /** Time without an answer after which other routers are asked to probe. */
    internal val directTimeout: Duration get() = probeInterval / 2

    /** Time without any answer after which a router is suspected. */
    internal val probeTimeout: Duration get() = probeInterval * 3 / 2

    /** Time between two ticks above which this process must have been paused. */
    internal val pauseThreshold: Duration get() = probeInterval * 2

    /** How long a suspected router has to contradict in a fleet of [members]. */
    public fun suspicionTimeout(members: Int): Duration = probeInterval * (SUSPICION_MULTIPLIER * logarithm(members))

    /** How many messages carry one piece of news in a fleet of [members]. */
    internal fun transmissions(members: Int): Int = ceil(TRANSMISSION_MULTIPLIER * logarithm(members)).toInt()

    private fun logarithm(members: Int): Double = ln(members + 1.0) / ln(2.0)

    private companion object {
        const val SUSPICION_MULTIPLIER = 3.0
        const val TRANSMISSION_MULTIPLIER = 3.0
    }
}
