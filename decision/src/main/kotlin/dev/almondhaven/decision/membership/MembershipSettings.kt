package dev.almondhaven.decision.membership

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Parameters of [Membership].
 *
 * @property probeInterval time between two probe rounds.
 * @property indirectProbes number of routers asked to probe a router that did not answer.
 * @property recordsPerMessage most updates in one message.
 * @property pageRecords members that a router requests per page if it knows as many as its peers.
 * @property joinPageRecords most members per page, reached if the router knows far fewer than its peers.
 * @property roundsPerContact probe rounds between two attempts to reach a router outside the view.
 * @property forgetAfter how long the record of a dead router is kept and its address retried.
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
    /** Time without an answer after which indirect probes are sent. */
    internal val directTimeout: Duration get() = probeInterval / 2

    /** Time without a direct or indirect answer after which a router is suspected. */
    internal val probeTimeout: Duration get() = probeInterval * 3 / 2

    /** Time between two ticks above which this process is taken to have been paused. */
    internal val pauseThreshold: Duration get() = probeInterval * 2

    /** How long a suspected router has to refute the suspicion in a fleet of [members]. */
    public fun suspicionTimeout(members: Int): Duration = probeInterval * (SUSPICION_MULTIPLIER * sizeLog2(members))

    /** How many messages carry one update in a fleet of [members]. */
    internal fun transmissionLimit(members: Int): Int = ceil(TRANSMISSION_MULTIPLIER * sizeLog2(members)).toInt()

    private fun sizeLog2(members: Int): Double = ln(members + 1.0) / ln(2.0)

    private companion object {
        const val SUSPICION_MULTIPLIER = 3.0
        const val TRANSMISSION_MULTIPLIER = 3.0
    }
}
