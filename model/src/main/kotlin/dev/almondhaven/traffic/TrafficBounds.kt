package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * Bounds that a deployment sets for all routers together.
 *
 * @property shutdownGracePeriod from the request to stop to the end by force.
 * @property drain a leaving endpoint gets no new requests after this time.
 * @property revocation within this time a key that was taken away no longer works.
 * @property retryRatio repeats that a service may get for each request, in any span of [retryWindow].
 * @property retrySlack repeats beyond these.
 * @property sessionIdleTimeout requests of a session that follow within this time belong together.
 */
public data class TrafficBounds(
    public val shutdownGracePeriod: Duration,
    public val drain: Duration,
    public val revocation: Duration,
    public val retryRatio: Double,
    public val retrySlack: Double,
    public val retryWindow: Duration,
    public val sessionIdleTimeout: Duration,
)
