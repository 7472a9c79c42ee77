package dev.almondhaven.decision.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of a lease. Each router measures them with its own monotonic clock; clocks are never compared.
 *
 * @property term how long a write makes the router the holder, counted from the moment the write was sent.
 * @property renewInterval time between two renewals.
 * @property margin time before the end of the term at which the holder stops sending orders.
 * @property orderLifetime time after which an order that was sent can no longer take effect.
 */
public data class LeaseSettings(
    public val term: Duration = 30.seconds,
    public val renewInterval: Duration = 10.seconds,
    public val margin: Duration = 8.seconds,
    public val orderLifetime: Duration = 5.seconds,
) {
    init {
        require(renewInterval + margin < term) {
            "renewInterval $renewInterval and margin $margin must be less than term $term in total"
        }
    }

    /** How long a successor waits after it first read the newest version of another holder's record. */
    internal val takeoverDelay: Duration get() = term + orderLifetime
}
