package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId

/**
 * One version of what the operator has published, ready for look-ups.
 *
 * @property version rises with every change, in uneven steps.
 * @property keys null where callers need no keys at all.
 */
public data class TrafficConfiguration(
    public val version: Long,
    public val routes: List<TrafficRoute>,
    public val services: Map<ServiceId, ServiceProfile>,
    public val limits: CallerLimits,
    public val keys: Map<CallerKey, KeyOwner>?,
) {
    private val byHost =
        routes.groupBy { it.host }.mapValues { (_, them) ->
            them.sortedByDescending { it.pathPrefix.length }
        }

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun route(
        host: String,
        path: String,
    ): TrafficRoute? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
