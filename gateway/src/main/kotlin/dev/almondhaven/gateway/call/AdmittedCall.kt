package dev.almondhaven.gateway.call

import com.google.common.hash.Hashing
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.CallDemand
import dev.almondhaven.traffic.KeyHolder
import dev.almondhaven.traffic.TrafficConfiguration
import dev.almondhaven.traffic.TrafficRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that may be served, with what was in force when it came. */
internal class AdmittedCall(
    val request: CallerRequest,
    val demand: CallDemand,
    val route: TrafficRoute,
    val configuration: TrafficConfiguration,
    private val holder: KeyHolder?,
) {
    val id: String get() = demand.requestId
    val organisation: OrganisationId? get() = holder?.organisation
    val priority: Int get() = holder?.priority ?: route.priority

    /** How long after its arrival the request is given up. */
    val timeLimit: Duration =
        minOf(
            route.timeout,
            (demand.deadline ?: Duration.INFINITE) - RESPONSE_TRANSIT_TIME,
        ).coerceAtLeast(Duration.ZERO)

    /** The service that takes the call; requests of one session go to one service. */
    val service: ServiceId = serviceFor(demand.session ?: demand.requestId)

    private fun serviceFor(key: String): ServiceId {
        val all = route.services
        val hash =
            Hashing
                .farmHashFingerprint64()
                .hashUnencodedChars(key)
                .asLong()
                .mod(HASH_BUCKETS)
        var point = hash.toDouble() / HASH_BUCKETS * all.sumOf { it.weight }
        return (all.firstOrNull { part -> (point < part.weight).also { point -= part.weight } } ?: all.last()).service
    }

    private companion object {
        const val HASH_BUCKETS = 10_000L

        /** An answer needs some time to reach the caller before its deadline. */
        val RESPONSE_TRANSIT_TIME = 15.milliseconds
    }
}
