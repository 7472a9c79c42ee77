package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CompletedRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** Runs admission for callers' requests and starts an [Exchange] for each admitted one. */
internal class CallHandler(
    private val context: CallContext,
) : RequestHandler {
    private val admission = Admission(context)
    private val selector = EndpointSelector(context)

    override fun serve(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest =
        if (admission.isReady) {
            admit(
                request,
                writer,
            )
        } else {
            DeferredRequest(context.loop, admission::isReady, writer::abort) { admit(request, writer) }
        }

    private fun admit(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest =
        admission.admit(request).fold({ reject(request, writer, it) }) { call ->
            context.routing.retryBudgetOf(call.service).recordRequest(context.clock.nanos())
            Exchange(context, selector, call, writer).also { it.start() }
        }

    private fun reject(
        request: CallerRequest,
        writer: ResponseWriter,
        response: RouterResponse,
    ): InFlightRequest {
        LogEvent.REQUEST_REFUSED.log(logger) {
            "request=${response.requestId} status=${response.status} host=${request.host} path=${request.path} " +
                "reason=\"${response.reason}\" configuration=${context.routing.configuration?.version} " +
                "proofAge=${context.configurationWatcher.confirmationAge().inWholeMilliseconds}"
        }
        writer.respond(response)
        return CompletedRequest
    }
}
