package dev.almondhaven.gateway.net

/** Serves callers' requests. */
internal fun interface RequestHandler {
    /** Begins to serve [request]; returns what hears of the caller's side. */
    fun serve(
        request: CallerRequest,
        port: ResponseWriter,
    ): InFlightRequest
}
