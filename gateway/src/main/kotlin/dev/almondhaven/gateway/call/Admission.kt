package dev.almondhaven.gateway.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.platform.WireCalls
import dev.almondhaven.traffic.CallerKey
import dev.almondhaven.traffic.KeyHolder
import dev.almondhaven.traffic.TrafficConfiguration
import dev.almondhaven.traffic.TrafficRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether a request is served at all, by route and key. */
internal class Admission(
    private val context: CallContext,
) {
    /** Whether it is known what is in force; before that every request is turned away. */
    val ready: Boolean get() = context.routing.configuration != null && context.routing.endpointsKnown

    /** The call that [request] makes, or the answer that ends it. */
    fun admit(request: CallerRequest): Either<RouterResponse, AdmittedCall> {
        val demand =
            WireCalls.demand { request.headers.get(it) }
                ?: return RouterResponse.of(BAD_REQUEST, null, "no request id").left()
        val id = demand.requestId
        if (context.lifecycle.stoppingFor() >
            SERVED_WHILE_STOPPING
        ) {
            return notRun(id, ELSEWHERE, "the router is stopping")
        }
        val configuration = context.routing.configuration
        if (configuration == null ||
            !context.routing.endpointsKnown
        ) {
            return notRun(id, STARTING, "no configuration yet")
        }
        val route = configuration.route(request.host, request.path) ?: return unknown(NOT_FOUND, id, "no such route")
        val holder = holderOf(configuration, route, demand.key)
        if (holder == null && !route.open && configuration.keys != null) return unknown(UNAUTHORIZED, id, "unknown key")
        if (holder != null && !context.proof.fresh) return notRun(id, ELSEWHERE, "keys can't be checked")
        return AdmittedCall(request, demand, route, configuration, holder).right()
    }

    private fun holderOf(
        configuration: TrafficConfiguration,
        route: TrafficRoute,
        key: CallerKey?,
    ): KeyHolder? = if (route.open) null else key?.let { configuration.keys?.get(it) }

    /** A router that may have missed a change can't say that a route or key doesn't exist. */
    private fun unknown(
        status: Int,
        id: String,
        reason: String,
    ): Either<RouterResponse, Nothing> =
        if (context.proof.fresh) {
            RouterResponse
                .of(
                    status,
                    id,
                    reason,
                ).left()
        } else {
            notRun(id, ELSEWHERE, "configuration may be old")
        }

    private fun notRun(
        id: String,
        retryAfter: Duration,
        reason: String,
    ): Either<RouterResponse, Nothing> = RouterResponse.notExecuted(id, retryAfter, reason).left()

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        /** A repeat reaches another router at once. */
        val ELSEWHERE = 20.milliseconds

        /** A router that has just started has read its configuration by then. */
        val STARTING = 500.milliseconds

        /** By then the balancer has seen that the router is not ready; what comes later might not end in time. */
        val SERVED_WHILE_STOPPING = 3.seconds
    }
}
