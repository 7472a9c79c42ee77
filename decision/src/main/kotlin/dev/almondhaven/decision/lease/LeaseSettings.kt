package dev.almondhaven.decision.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Times of a lease. Each router measures spans with its own monotonic clock; no two clocks are compared.
 *
 * @property term how long the holder counts on a write, from the moment it was asked for.
 * @property renewInterval time between two renewals.
 * @property margin time before the end of the term at which the holder stops giving orders.
 * @property orderLifetime time after which an order that was sent can no longer take effect.
 */
public data class LeaseSettings(
    public val term: Duration = 30.seconds,
    public val renewInterval: Duration = 10.seconds,
    public val margin: Duration = 8.seconds,
    public val orderLifetime: Duration = 5.seconds,
) {
    init {
        require(renewInterval + margin < term) { "no time to renew: term $term, every $renewInterval, margin $margin" }
    }

    /** How long a successor waits after it first saw the newest version of another holder's record. */
    internal val wait: Duration get() = term + orderLifetime
}
