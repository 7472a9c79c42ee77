package dev.almondhaven.gateway.net

/** Serves callers' requests. */
internal fun interface RequestHandler {
    /** Starts to serve [request]; the returned object is notified of the caller's connection state. */
    fun serve(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest
}
