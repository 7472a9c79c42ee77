package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * Time and retry bounds that a deployment sets for all its routers.
 *
 * @property shutdownGracePeriod time from the request to stop until the process is killed.
 * @property drain time after which a leaving endpoint must get no more new requests.
 * @property revocation time within which a revoked key must stop working.
 * @property retryRatio retries that a service may get per request, in any window of length [retryWindow].
 * @property retrySlack retries allowed in each window in addition to those.
 * @property sessionIdleTimeout requests of a session that follow each other within this time belong together.
 * @property warmUpOvershoot factor on a cold endpoint's rate that all routers together may reach in one second.
 * @property warmUpSlack requests that they may send it in that second in addition.
 */
public data class TrafficBounds(
    public val shutdownGracePeriod: Duration,
    public val drain: Duration,
    public val revocation: Duration,
    public val retryRatio: Double,
    public val retrySlack: Double,
    public val retryWindow: Duration,
    public val sessionIdleTimeout: Duration,
    public val warmUpOvershoot: Double = 1.5,
    public val warmUpSlack: Double = 5.0,
)
