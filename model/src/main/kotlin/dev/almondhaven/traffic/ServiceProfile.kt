package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * A service that routes send requests to.
 *
 * @property healthPath path of the endpoints' health check.
 * @property maxConnections maximum number of connections that one endpoint accepts, over all clients.
 * @property coldStart how long an endpoint warms up after its start.
 * @property coldRequestsPerSecond rate that one cold endpoint sustains from all routers together; 0 for no limit.
 * @property engine engine profile if the endpoints are model engines, otherwise null.
 */
public data class ServiceProfile(
    public val id: ServiceId,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldStart: Duration,
    public val coldRequestsPerSecond: Double,
    public val engine: EngineProfile?,
)
