package dev.almondhaven.gateway.net

/** A request that is being served. */
internal interface InFlightRequest {
    /** The caller has disconnected; all work for the request is cancelled. */
    fun onCallerDisconnected()

    /** The process is about to exit; the request gets its final response now. */
    fun onShutdown(): Unit = Unit

    /** The connection to the caller is writable again after backpressure. */
    fun onCallerWritable()
}
