package dev.almondhaven.gateway

import dev.almondhaven.gateway.call.OwnAnswer
import dev.almondhaven.gateway.net.CallerPort
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.RequestInWork

/** Tells the balancer whether this router takes new connections. */
internal class ReadyHandler(
    private val ready: () -> Boolean,
) : RequestHandler {
    override fun serve(
        request: CallerRequest,
        port: CallerPort,
    ): RequestInWork {
        val status = if (ready()) OK else UNAVAILABLE
        port.answer(OwnAnswer.of(status, null, if (status == OK) "ready" else "not ready"))
        return Nothing
    }

    private object Nothing : RequestInWork {
        override fun callerLeft() = Unit

        override fun callerReady() = Unit
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
