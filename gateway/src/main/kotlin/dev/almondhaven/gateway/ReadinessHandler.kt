package dev.almondhaven.gateway

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CompletedRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter

/** Answers the load balancer's readiness checks. */
internal class ReadinessHandler(
    private val isReady: () -> Boolean,
) : RequestHandler {
    override fun serve(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest {
        val status = if (isReady()) OK else UNAVAILABLE
        writer.respond(RouterResponse.of(status, null, if (status == OK) "ready" else "not ready"))
        return CompletedRequest
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
