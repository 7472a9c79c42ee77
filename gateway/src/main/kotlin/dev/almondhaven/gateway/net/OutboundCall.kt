package dev.almondhaven.gateway.net

/** Handle of a request that was passed to a [ConnectionPool]. */
internal class OutboundCall {
    private var connection: OutboundConnection? = null

    /** Whether the request was cancelled; a connection that opens afterwards is returned to the pool. */
    var isCancelled = false
        private set

    /** Number of the connection that carries the request and of the request on it; null until one is open. */
    var sendNumber: String? = null
        private set

    /** Whether the connection has carried other requests, whose late responses may still arrive. */
    var isConnectionReused = false
        private set

    fun attach(connection: OutboundConnection) {
        this.connection = connection
        sendNumber = connection.nextSendNumber
        isConnectionReused = connection.hasCarriedRequests
    }

    /**
     * Cancels the request by closing its connection, which also ends the work at the peer. Must not be called after the
     * response has ended.
     */
    fun cancel() {
        isCancelled = true
        connection?.cancel()
    }

    fun setAutoRead(enabled: Boolean) {
        connection?.setAutoRead(enabled)
    }
}
