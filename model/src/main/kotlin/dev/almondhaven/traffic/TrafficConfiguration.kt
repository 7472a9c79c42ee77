package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId

/**
 * One version of the operator's configuration, indexed for look-ups.
 *
 * @property version increases with every change, not necessarily by 1.
 * @property keys owners of the API keys; null if no caller needs a key.
 */
public data class TrafficConfiguration(
    public val version: Long,
    public val routes: List<TrafficRoute>,
    public val services: Map<ServiceId, ServiceProfile>,
    public val limits: CallerLimits,
    public val keys: Map<CallerKey, KeyOwner>?,
) {
    private val byHost =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) ->
            hostRoutes.sortedByDescending { it.pathPrefix.length }
        }

    /** The route of [host] whose path prefix is the longest that matches [path], or null. */
    public fun route(
        host: String,
        path: String,
    ): TrafficRoute? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
