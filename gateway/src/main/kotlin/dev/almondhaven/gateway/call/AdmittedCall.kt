package dev.almondhaven.gateway.call

import com.google.common.hash.Hashing
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.KeyOwner
import dev.almondhaven.traffic.RequestMetadata
import dev.almondhaven.traffic.TrafficConfiguration
import dev.almondhaven.traffic.TrafficRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that has passed admission, with the configuration that was current when it arrived. */
internal class AdmittedCall(
    val request: CallerRequest,
    val demand: RequestMetadata,
    val route: TrafficRoute,
    val configuration: TrafficConfiguration,
    private val holder: KeyOwner?,
) {
    val id: String get() = demand.requestId
    val organisation: OrganisationId? get() = holder?.organisation
    val priority: Int get() = holder?.priority ?: route.priority

    /**
     * Time from the arrival of the request to its timeout: the route's timeout, or the caller's deadline if that is
     * sooner.
     */
    val timeLimit: Duration =
        minOf(route.timeout, (demand.deadline ?: Duration.INFINITE) - RESPONSE_TRANSIT_TIME)
            .coerceAtLeast(Duration.ZERO)

    /**
     * The service that handles the call, drawn by weight from a hash of the session id, or of the request id without a
     * session; all requests of a session go to the same service.
     */
    val service: ServiceId = serviceFor(demand.session ?: demand.requestId)

    private fun serviceFor(key: String): ServiceId {
        val candidates = route.services
        val hash =
            Hashing
                .farmHashFingerprint64()
                .hashUnencodedChars(key)
                .asLong()
                .mod(HASH_BUCKETS)
        var point = hash.toDouble() / HASH_BUCKETS * candidates.sumOf { it.weight }
        val drawn =
            candidates.firstOrNull { candidate -> (point < candidate.weight).also { point -= candidate.weight } }
        return (drawn ?: candidates.last()).service
    }

    private companion object {
        const val HASH_BUCKETS = 10_000L

        /** Time reserved for the response to reach the caller before its deadline. */
        val RESPONSE_TRANSIT_TIME = 15.milliseconds
    }
}
