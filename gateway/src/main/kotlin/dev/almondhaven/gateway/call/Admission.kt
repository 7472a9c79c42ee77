package dev.almondhaven.gateway.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.platform.WireCalls
import dev.almondhaven.traffic.CallerKey
import dev.almondhaven.traffic.KeyOwner
import dev.almondhaven.traffic.TrafficConfiguration
import dev.almondhaven.traffic.TrafficRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides by route and API key whether a request is served. */
internal class Admission(
    private val context: CallContext,
) {
    /** Whether everything that binds the choice of an endpoint is loaded; until then every request is rejected. */
    val isReady: Boolean get() = context.routing.isLoaded

    /** Returns the admitted call for [request], or the response that rejects it. */
    fun admit(request: CallerRequest): Either<RouterResponse, AdmittedCall> {
        val demand =
            WireCalls.parseRequest { request.headers.get(it) }
                ?: return RouterResponse.of(BAD_REQUEST, null, "no request id").left()
        val id = demand.requestId
        if (!context.lifecycle.acceptsRequests) {
            return notExecuted(id, RETRY_ELSEWHERE_DELAY, "the router is stopping")
        }
        val configuration = context.routing.configuration
        if (configuration == null || !isReady) {
            return notExecuted(id, RETRY_AFTER_START_DELAY, "configuration, endpoints or orders are not loaded yet")
        }
        val route =
            configuration.route(request.host, request.path)
                ?: return rejectUnlessStale(NOT_FOUND, id, "no such route")
        val holder = keyHolder(configuration, route, demand.key)
        if (holder == null && !route.open && configuration.keys != null) {
            return rejectUnlessStale(UNAUTHORIZED, id, "unknown key")
        }
        if (holder != null && !context.configurationWatcher.isFresh) {
            return notExecuted(id, RETRY_ELSEWHERE_DELAY, "keys can't be checked")
        }
        return AdmittedCall(request, demand, route, configuration, holder).right()
    }

    private fun keyHolder(
        configuration: TrafficConfiguration,
        route: TrafficRoute,
        key: CallerKey?,
    ): KeyOwner? = if (route.open) null else key?.let { configuration.keys?.get(it) }

    /**
     * Rejects with [status], or with a retryable 503 while the configuration may be stale: a router that may have
     * missed a change can't say that a route or key doesn't exist.
     */
    private fun rejectUnlessStale(
        status: Int,
        id: String,
        reason: String,
    ): Either<RouterResponse, Nothing> =
        if (context.configurationWatcher.isFresh) {
            RouterResponse
                .of(
                    status,
                    id,
                    reason,
                ).left()
        } else {
            notExecuted(id, RETRY_ELSEWHERE_DELAY, "configuration may be old")
        }

    private fun notExecuted(
        id: String,
        retryAfter: Duration,
        reason: String,
    ): Either<RouterResponse, Nothing> = RouterResponse.notExecuted(id, retryAfter, reason).left()

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        /** A retry reaches another router at once, so the delay is short. */
        val RETRY_ELSEWHERE_DELAY = 20.milliseconds

        /** By then a router that has just started has loaded its configuration. */
        val RETRY_AFTER_START_DELAY = 500.milliseconds
    }
}
