package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Admits callers' requests and serves those that may be served. */
internal class CallHandler(
    private val context: CallContext,
) : RequestHandler {
    private val admission = Admission(context)
    private val selection = EndpointSelector(context)

    override fun serve(
        request: CallerRequest,
        port: ResponseWriter,
    ): InFlightRequest =
        if (admission.ready) {
            admit(
                request,
                port,
            )
        } else {
            DeferredRequest(context.loop, admission::ready) { admit(request, port) }
        }

    private fun admit(
        request: CallerRequest,
        port: ResponseWriter,
    ): InFlightRequest =
        admission.admit(request).fold({ refuse(request, port, it) }) { call ->
            context.routing.budgetOf(call.service).recordRequest(context.clock.nanos())
            Exchange(context, selection, call, port).also { it.start() }
        }

    private fun refuse(
        request: CallerRequest,
        port: ResponseWriter,
        answer: RouterResponse,
    ): InFlightRequest {
        LogEvent.REQUEST_REFUSED.log(logger) {
            "request=${answer.requestId} status=${answer.status} host=${request.host} path=${request.path} " +
                "reason=\"${answer.reason}\" configuration=${context.routing.configuration?.version} " +
                "proofAge=${context.proof.age().inWholeMilliseconds}"
        }
        port.answer(answer)
        return Answered
    }

    private object Answered : InFlightRequest {
        override fun onCallerDisconnected() = Unit

        override fun onCallerWritable() = Unit
    }
}
