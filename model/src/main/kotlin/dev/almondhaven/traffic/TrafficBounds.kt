package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * Bounds that a deployment sets for all routers together.
 *
 * @property stopGrace from the request to stop to the end by force.
 * @property revocation within this time a key that was taken away no longer works.
 * @property retryRatio repeats that a service may get for each request, in [retryWindow].
 * @property retrySlack repeats beyond that in [retryWindow].
 * @property exposureShare part of a service's requests that a bad version may get during its roll-out.
 * @property sessionGap requests of a session that follow within this time belong together.
 * @property reuseWindow how long a shared prompt part is worth keeping in place.
 */
public data class TrafficBounds(
    public val stopGrace: Duration,
    public val revocation: Duration,
    public val retryRatio: Double,
    public val retrySlack: Double,
    public val retryWindow: Duration,
    public val exposureShare: Double,
    public val sessionGap: Duration,
    public val reuseWindow: Duration,
)
