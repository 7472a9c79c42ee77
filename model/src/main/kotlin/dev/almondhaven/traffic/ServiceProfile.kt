package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * A service that routes lead to.
 *
 * @property healthPath path of an endpoint's health check.
 * @property maxConnections connections an endpoint accepts from all callers together.
 * @property coldStart how long an endpoint is cold after it started.
 * @property coldRequestsPerSecond what one cold endpoint bears from all routers together; 0 for no bound.
 * @property engine set where the endpoints are model engines.
 */
public data class ServiceProfile(
    public val id: ServiceId,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldStart: Duration,
    public val coldRequestsPerSecond: Double,
    public val engine: EngineProfile?,
)
