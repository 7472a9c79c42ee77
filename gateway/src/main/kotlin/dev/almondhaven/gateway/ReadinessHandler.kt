package dev.almondhaven.gateway

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter

/** Tells the balancer whether this router takes new connections. */
internal class ReadinessHandler(
    private val ready: () -> Boolean,
) : RequestHandler {
    override fun serve(
        request: CallerRequest,
        port: ResponseWriter,
    ): InFlightRequest {
        val status = if (ready()) OK else UNAVAILABLE
        port.answer(RouterResponse.of(status, null, if (status == OK) "ready" else "not ready"))
        return Nothing
    }

    private object Nothing : InFlightRequest {
        override fun onCallerDisconnected() = Unit

        override fun onCallerWritable() = Unit
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
